package org.knapweedhatch.peer;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.limit.ConfirmMessage;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.LoanGrant;
import org.knapweedhatch.limit.LoanRelease;
import org.knapweedhatch.limit.LoanRequest;
import org.knapweedhatch.limit.SplitUpdate;
import org.knapweedhatch.peer.proto.ConfirmRecord;
import org.knapweedhatch.peer.proto.LimitRecord;
import org.knapweedhatch.peer.proto.LoanGrantRecord;
import org.knapweedhatch.peer.proto.LoanReleaseRecord;
import org.knapweedhatch.peer.proto.LoanRequestRecord;
import org.knapweedhatch.peer.proto.SplitNewsRecord;

/** The messages of shared limits. */
public final class LimitCodec implements PeerCodec {

    private static final LimitId.Kind[] KINDS = LimitId.Kind.values();

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        20, ConfirmMessage.class, LimitCodec::confirm, body -> confirm(ConfirmRecord.parseFrom(body))),
                new MessageKind<>(
                        21, LoanRequest.class, LimitCodec::request, body -> request(LoanRequestRecord.parseFrom(body))),
                new MessageKind<>(
                        22, LoanGrant.class, LimitCodec::grant, body -> grant(LoanGrantRecord.parseFrom(body))),
                new MessageKind<>(
                        23, SplitUpdate.class, LimitCodec::news, body -> news(SplitNewsRecord.parseFrom(body))),
                new MessageKind<>(
                        24,
                        LoanRelease.class,
                        LimitCodec::release,
                        body -> release(LoanReleaseRecord.parseFrom(body))));
    }

    private static ConfirmRecord confirm(ConfirmMessage message) {
        return ConfirmRecord.newBuilder()
                .setIncarnation(message.incarnation())
                .setSequence(message.sequence())
                .setAnswer(message.answer())
                .setVersion(message.version())
                .setAnchor(message.quorumEpoch())
                .setHeardAnchor(message.heardQuorumEpoch())
                .setHeardIncarnation(message.heardIncarnation())
                .build();
    }

    private static ConfirmMessage confirm(ConfirmRecord record) {
        return new ConfirmMessage(
                record.getIncarnation(),
                record.getSequence(),
                record.getAnswer(),
                record.getVersion(),
                record.getAnchor(),
                record.getHeardAnchor(),
                record.getHeardIncarnation());
    }

    private static LoanRequestRecord request(LoanRequest message) {
        return LoanRequestRecord.newBuilder()
                .setId(message.id())
                .setIncarnation(message.incarnation())
                .setLimit(limit(message.limit()))
                .setRenews(message.renews())
                .setShare(message.share())
                .build();
    }

    private static LoanRequest request(LoanRequestRecord record) {
        return new LoanRequest(
                record.getId(),
                record.getIncarnation(),
                limit(record.getLimit()),
                record.getRenews(),
                amount(record.getShare(), "share"));
    }

    private static LoanGrantRecord grant(LoanGrant message) {
        return LoanGrantRecord.newBuilder()
                .setId(message.id())
                .setIncarnation(message.incarnation())
                .setLimit(limit(message.limit()))
                .setRenews(message.renews())
                .setShare(message.share())
                .setTokens(message.tokens())
                .setLeaseNanos(message.leaseNanos())
                .setSpare(message.spare())
                .setLoan(message.loan())
                .build();
    }

    private static LoanGrant grant(LoanGrantRecord record) {
        return new LoanGrant(
                record.getId(),
                record.getIncarnation(),
                limit(record.getLimit()),
                record.getLoan(),
                record.getRenews(),
                amount(record.getShare(), "share"),
                amount(record.getTokens(), "tokens"),
                Validate.notNegative(record.getLeaseNanos(), "lease"),
                amount(record.getSpare(), "spare"));
    }

    private static LoanReleaseRecord release(LoanRelease message) {
        return LoanReleaseRecord.newBuilder()
                .setId(message.id())
                .setIncarnation(message.incarnation())
                .setLimit(limit(message.limit()))
                .setLoan(message.loan())
                .setShare(message.share())
                .setTokens(message.tokens())
                .build();
    }

    private static LoanRelease release(LoanReleaseRecord record) {
        return new LoanRelease(
                record.getId(),
                record.getIncarnation(),
                limit(record.getLimit()),
                record.getLoan(),
                amount(record.getShare(), "share"),
                amount(record.getTokens(), "tokens"));
    }

    private static SplitNewsRecord news(SplitUpdate message) {
        return SplitNewsRecord.newBuilder().setText(message.text()).build();
    }

    private static SplitUpdate news(SplitNewsRecord record) {
        return new SplitUpdate(record.getText());
    }

    private static LimitRecord limit(LimitId limit) {
        return LimitRecord.newBuilder()
                .setKind(limit.kind().ordinal())
                .setName(limit.name())
                .build();
    }

    private static LimitId limit(LimitRecord record) {
        return new LimitId(Records.oneOf(KINDS, record.getKind()), record.getName());
    }

    private static double amount(double value, String name) {
        Validate.isTrue(Double.isFinite(value) && value >= 0, "%s out of range: %s", name, value);
        return value;
    }
}
