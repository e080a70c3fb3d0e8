package org.knapweedhatch.peer;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.LoadReportRecord;
import org.knapweedhatch.peer.proto.RosterAskRecord;
import org.knapweedhatch.peer.proto.RosterReplyRecord;
import org.knapweedhatch.peer.proto.ServiceLoadRecord;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterReply;

/** The messages about target slots and load. */
public final class SteerCodec implements PeerCodec {

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(50, RosterAsk.class, SteerCodec::ask, body -> ask(RosterAskRecord.parseFrom(body))),
                new MessageKind<>(
                        51, RosterReply.class, SteerCodec::reply, body -> reply(RosterReplyRecord.parseFrom(body))),
                new MessageKind<>(
                        52, LoadReport.class, SteerCodec::report, body -> report(LoadReportRecord.parseFrom(body))));
    }

    private static RosterAskRecord ask(RosterAsk message) {
        return RosterAskRecord.newBuilder()
                .setRoster(message.roster())
                .setSentNanos(message.sentNanos())
                .build();
    }

    private static RosterAsk ask(RosterAskRecord record) {
        return new RosterAsk(record.getRoster(), record.getSentNanos());
    }

    private static RosterReplyRecord reply(RosterReply message) {
        return RosterReplyRecord.newBuilder()
                .setIncarnation(message.incarnation())
                .setRoster(message.roster())
                .setSentNanos(message.sentNanos())
                .setConceded(message.conceded())
                .setIdle(message.idle())
                .build();
    }

    private static RosterReply reply(RosterReplyRecord record) {
        return new RosterReply(
                record.getIncarnation(),
                record.getRoster(),
                record.getSentNanos(),
                record.getConceded(),
                record.getIdle());
    }

    private static LoadReportRecord report(LoadReport message) {
        LoadReportRecord.Builder record = LoadReportRecord.newBuilder();
        for (LoadReport.ServiceLoad load : message.services()) {
            record.addServices(ServiceLoadRecord.newBuilder()
                    .setService(load.service())
                    .setCapacity(load.capacity())
                    .setFree(load.free())
                    .setWaitNanos(load.waitNanos()));
        }
        return record.build();
    }

    private static LoadReport report(LoadReportRecord record) {
        return new LoadReport(
                record.getServicesList().stream().map(SteerCodec::load).toList());
    }

    private static LoadReport.ServiceLoad load(ServiceLoadRecord record) {
        Validate.notNegative(record.getCapacity(), "capacity");
        Validate.notNegative(record.getWaitNanos(), "wait");
        return new LoadReport.ServiceLoad(
                record.getService(), record.getCapacity(), record.getFree(), record.getWaitNanos());
    }
}
