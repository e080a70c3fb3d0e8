package org.knapweedhatch.peer;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Digest;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.MemberMessage;
import org.knapweedhatch.member.MemberRow;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.Sighting;
import org.knapweedhatch.peer.proto.DigestRecord;
import org.knapweedhatch.peer.proto.GoodbyeRecord;
import org.knapweedhatch.peer.proto.HeartbeatRecord;
import org.knapweedhatch.peer.proto.HostRecord;
import org.knapweedhatch.peer.proto.IntroductionRecord;
import org.knapweedhatch.peer.proto.LoadRecord;
import org.knapweedhatch.peer.proto.ProbeRecord;
import org.knapweedhatch.peer.proto.RegionDigestRecord;
import org.knapweedhatch.peer.proto.ReportRecord;
import org.knapweedhatch.peer.proto.RowRecord;
import org.knapweedhatch.peer.proto.SightingRecord;
import org.knapweedhatch.peer.proto.SupersededRecord;
import org.knapweedhatch.peer.proto.TableRecord;
import org.knapweedhatch.peer.proto.TableRequestRecord;

/** The messages of membership. */
public final class MemberCodec implements PeerCodec {

    private static final MemberState[] STATES = MemberState.values();

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        10,
                        MemberMessage.Heartbeat.class,
                        MemberCodec::heartbeat,
                        body -> heartbeat(HeartbeatRecord.parseFrom(body))),
                new MessageKind<>(
                        11,
                        MemberMessage.Introduction.class,
                        MemberCodec::introduction,
                        body -> introduction(IntroductionRecord.parseFrom(body))),
                new MessageKind<>(
                        12,
                        MemberMessage.RegionDigest.class,
                        MemberCodec::regionDigest,
                        body -> regionDigest(RegionDigestRecord.parseFrom(body))),
                new MessageKind<>(
                        13,
                        MemberMessage.TableRequest.class,
                        MemberCodec::tableRequest,
                        body -> tableRequest(TableRequestRecord.parseFrom(body))),
                new MessageKind<>(
                        14, MemberMessage.Table.class, MemberCodec::table, body -> table(TableRecord.parseFrom(body))),
                new MessageKind<>(
                        15, MemberMessage.Probe.class, MemberCodec::probe, body -> probe(ProbeRecord.parseFrom(body))),
                new MessageKind<>(
                        16,
                        MemberMessage.ProbeReply.class,
                        MemberCodec::report,
                        body -> report(ReportRecord.parseFrom(body))),
                new MessageKind<>(
                        17,
                        MemberMessage.Superseded.class,
                        MemberCodec::superseded,
                        body -> superseded(SupersededRecord.parseFrom(body))),
                new MessageKind<>(
                        18,
                        MemberMessage.Goodbye.class,
                        MemberCodec::goodbye,
                        body -> goodbye(GoodbyeRecord.parseFrom(body))));
    }

    private static TableRequestRecord tableRequest(MemberMessage.TableRequest message) {
        return TableRequestRecord.newBuilder().setRegion(message.region()).build();
    }

    private static MemberMessage.TableRequest tableRequest(TableRequestRecord record) {
        return new MemberMessage.TableRequest(record.getRegion());
    }

    private static TableRecord table(MemberMessage.Table message) {
        return TableRecord.newBuilder().setDigest(digest(message.digest())).build();
    }

    private static MemberMessage.Table table(TableRecord record) {
        return new MemberMessage.Table(digest(record.getDigest()));
    }

    private static ProbeRecord probe(MemberMessage.Probe message) {
        return ProbeRecord.newBuilder().addAllNames(message.names()).build();
    }

    private static MemberMessage.Probe probe(ProbeRecord record) {
        return new MemberMessage.Probe(record.getNamesList());
    }

    private static SupersededRecord superseded(MemberMessage.Superseded message) {
        return SupersededRecord.newBuilder()
                .setIncarnation(message.incarnation())
                .build();
    }

    private static MemberMessage.Superseded superseded(SupersededRecord record) {
        return new MemberMessage.Superseded(record.getIncarnation());
    }

    private static GoodbyeRecord goodbye(MemberMessage.Goodbye message) {
        return GoodbyeRecord.newBuilder().setIncarnation(message.incarnation()).build();
    }

    private static MemberMessage.Goodbye goodbye(GoodbyeRecord record) {
        return new MemberMessage.Goodbye(record.getIncarnation());
    }

    private static HeartbeatRecord heartbeat(MemberMessage.Heartbeat message) {
        HeartbeatRecord.Builder record = HeartbeatRecord.newBuilder()
                .setIncarnation(message.incarnation())
                .setConfiguration(message.configuration())
                .setLoad(load(message.load()))
                .setLeaving(message.leaving());
        message.digests().forEach(digest -> record.addDigests(digest(digest)));
        Records.capacity(message.capacity()).ifPresent(record::setCapacity);
        return record.build();
    }

    private static MemberMessage.Heartbeat heartbeat(HeartbeatRecord record) {
        return new MemberMessage.Heartbeat(
                record.getIncarnation(),
                record.getConfiguration(),
                load(record.getLoad()),
                record.getLeaving(),
                record.getDigestsList().stream().map(MemberCodec::digest).toList(),
                Records.capacity(record.getCapacity()));
    }

    private static IntroductionRecord introduction(MemberMessage.Introduction message) {
        return IntroductionRecord.newBuilder()
                .setHost(Records.host(message.host()))
                .setHeartbeat(heartbeat(message.heartbeat()))
                .setAnswer(message.replyRequested())
                .build();
    }

    private static MemberMessage.Introduction introduction(IntroductionRecord record) {
        return new MemberMessage.Introduction(
                Records.host(record.getHost()), heartbeat(record.getHeartbeat()), record.getAnswer());
    }

    private static RegionDigestRecord regionDigest(MemberMessage.RegionDigest message) {
        return RegionDigestRecord.newBuilder()
                .setSender(Records.host(message.sender()))
                .setIncarnation(message.incarnation())
                .setDigest(digest(message.digest()))
                .build();
    }

    private static MemberMessage.RegionDigest regionDigest(RegionDigestRecord record) {
        return new MemberMessage.RegionDigest(
                Records.host(record.getSender()), record.getIncarnation(), digest(record.getDigest()));
    }

    private static DigestRecord digest(Digest digest) {
        DigestRecord.Builder record = DigestRecord.newBuilder()
                .setRegion(digest.region())
                .setHash(digest.hash())
                .setAgeMillis(digest.ageMillis())
                .setLowestConfiguration(digest.lowestConfiguration())
                .setConfigurationSpread(digest.highestConfiguration() - digest.lowestConfiguration())
                .setLoad(load(digest.load()));
        digest.changed().forEach(row -> record.addChanged(row(row)));
        return record.build();
    }

    private static Digest digest(DigestRecord record) {
        Validate.notNegative(record.getLowestConfiguration(), "lowest configuration");
        Validate.notNegative(record.getConfigurationSpread(), "configuration spread");
        return new Digest(
                record.getRegion(),
                record.getHash(),
                record.getAgeMillis(),
                record.getLowestConfiguration(),
                record.getLowestConfiguration() + record.getConfigurationSpread(),
                load(record.getLoad()),
                record.getChangedList().stream()
                        .map(row -> row(row, record.getRegion()))
                        .toList());
    }

    private static RowRecord row(MemberRow row) {
        HostRecord host = Records.host(row.host()).toBuilder().clearRegion().build();
        return RowRecord.newBuilder()
                .setHost(host)
                .setIncarnation(row.incarnation())
                .setState(row.state().ordinal())
                .build();
    }

    private static MemberRow row(RowRecord record, String region) {
        return new MemberRow(
                Records.host(record.getHost(), region),
                record.getIncarnation(),
                Records.oneOf(STATES, record.getState()));
    }

    private static ReportRecord report(MemberMessage.ProbeReply message) {
        ReportRecord.Builder record = ReportRecord.newBuilder();
        for (Sighting sighting : message.sightings()) {
            record.addSightings(SightingRecord.newBuilder()
                    .setName(sighting.name())
                    .setIncarnation(sighting.incarnation())
                    .setAgeMillis(sighting.ageMillis())
                    .setLeaving(sighting.leaving()));
        }
        return record.build();
    }

    private static MemberMessage.ProbeReply report(ReportRecord record) {
        return new MemberMessage.ProbeReply(record.getSightingsList().stream()
                .map(s -> new Sighting(s.getName(), s.getIncarnation(), s.getAgeMillis(), s.getLeaving()))
                .toList());
    }

    private static LoadRecord load(Load load) {
        return LoadRecord.newBuilder()
                .setInFlight(load.inFlight())
                .setWaiting(load.waiting())
                .setRequestsPerSecond((float) load.requestsPerSecond())
                .build();
    }

    private static Load load(LoadRecord record) {
        Validate.isTrue(Float.isFinite(record.getRequestsPerSecond()), "requests per second must be finite");
        return new Load(record.getInFlight(), record.getWaiting(), record.getRequestsPerSecond());
    }
}
