package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.answer.ClaimMessage;
import org.knapweedhatch.answer.Claimant;
import org.knapweedhatch.answer.StoredResponse;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.ClaimAnsweredRecord;
import org.knapweedhatch.peer.proto.ClaimAskRecord;
import org.knapweedhatch.peer.proto.ClaimCopyAskRecord;
import org.knapweedhatch.peer.proto.ClaimCopyRecord;
import org.knapweedhatch.peer.proto.ClaimReleaseRecord;
import org.knapweedhatch.peer.proto.ClaimVoteRecord;
import org.knapweedhatch.peer.proto.ClaimantRecord;
import org.knapweedhatch.peer.proto.CopiedClaimRecord;
import org.knapweedhatch.peer.proto.KeptAnswerRecord;

/** The messages about claims of idempotency keys. */
public final class ClaimCodec implements PeerCodec {

    private static final ClaimMessage.Verdict[] VERDICTS = ClaimMessage.Verdict.values();

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        60,
                        ClaimMessage.VoteRequest.class,
                        ClaimCodec::ask,
                        body -> ask(ClaimAskRecord.parseFrom(body))),
                new MessageKind<>(
                        61, ClaimMessage.Vote.class, ClaimCodec::vote, body -> vote(ClaimVoteRecord.parseFrom(body))),
                new MessageKind<>(
                        62,
                        ClaimMessage.Answered.class,
                        ClaimCodec::answered,
                        body -> answered(ClaimAnsweredRecord.parseFrom(body))),
                new MessageKind<>(
                        63,
                        ClaimMessage.Release.class,
                        ClaimCodec::release,
                        body -> release(ClaimReleaseRecord.parseFrom(body))),
                new MessageKind<>(
                        64,
                        ClaimMessage.CopyRequest.class,
                        ClaimCodec::copyAsk,
                        body -> copyAsk(ClaimCopyAskRecord.parseFrom(body))),
                new MessageKind<>(
                        65,
                        ClaimMessage.CopyPart.class,
                        ClaimCodec::copy,
                        body -> copy(ClaimCopyRecord.parseFrom(body))));
    }

    private static ClaimAskRecord ask(ClaimMessage.VoteRequest message) {
        return ClaimAskRecord.newBuilder()
                .setRoster(message.roster())
                .setKey(message.key())
                .setClaimant(claimant(message.claimant()))
                .build();
    }

    private static ClaimMessage.VoteRequest ask(ClaimAskRecord record) {
        return new ClaimMessage.VoteRequest(record.getRoster(), record.getKey(), claimant(record.getClaimant()));
    }

    private static ClaimVoteRecord vote(ClaimMessage.Vote message) {
        ClaimVoteRecord.Builder record = ClaimVoteRecord.newBuilder()
                .setRoster(message.roster())
                .setKey(message.key())
                .setClaimant(claimant(message.claimant()))
                .setVerdict(message.verdict().ordinal());
        message.response().ifPresent(answer -> record.setAnswer(kept(answer)));
        return record.build();
    }

    private static ClaimMessage.Vote vote(ClaimVoteRecord record) {
        return new ClaimMessage.Vote(
                record.getRoster(),
                record.getKey(),
                claimant(record.getClaimant()),
                Records.oneOf(VERDICTS, record.getVerdict()),
                kept(record.hasAnswer(), record.getAnswer()));
    }

    private static ClaimAnsweredRecord answered(ClaimMessage.Answered message) {
        ClaimAnsweredRecord.Builder record =
                ClaimAnsweredRecord.newBuilder().setKey(message.key()).setClaimant(claimant(message.claimant()));
        message.response().ifPresent(answer -> record.setAnswer(kept(answer)));
        return record.build();
    }

    private static ClaimMessage.Answered answered(ClaimAnsweredRecord record) {
        return new ClaimMessage.Answered(
                record.getKey(), claimant(record.getClaimant()), kept(record.hasAnswer(), record.getAnswer()));
    }

    private static ClaimReleaseRecord release(ClaimMessage.Release message) {
        return ClaimReleaseRecord.newBuilder()
                .setKey(message.key())
                .setClaimant(claimant(message.claimant()))
                .build();
    }

    private static ClaimMessage.Release release(ClaimReleaseRecord record) {
        return new ClaimMessage.Release(record.getKey(), claimant(record.getClaimant()));
    }

    private static ClaimCopyAskRecord copyAsk(ClaimMessage.CopyRequest message) {
        return ClaimCopyAskRecord.newBuilder()
                .setRoster(message.roster())
                .setAsk(message.id())
                .build();
    }

    private static ClaimMessage.CopyRequest copyAsk(ClaimCopyAskRecord record) {
        return new ClaimMessage.CopyRequest(record.getRoster(), record.getAsk());
    }

    private static ClaimCopyRecord copy(ClaimMessage.CopyPart message) {
        ClaimCopyRecord.Builder record = ClaimCopyRecord.newBuilder()
                .setRoster(message.roster())
                .setAsk(message.requestId())
                .setSettled(message.caughtUp())
                .setPart(message.part())
                .setParts(message.parts());
        message.claims().forEach(claim -> record.addClaims(copied(claim)));
        return record.build();
    }

    private static ClaimMessage.CopyPart copy(ClaimCopyRecord record) {
        boolean inRange = record.getPart() >= 0 && record.getPart() < record.getParts();
        Validate.isTrue(inRange, "part out of range: %d", record.getPart());
        return new ClaimMessage.CopyPart(
                record.getRoster(),
                record.getAsk(),
                record.getSettled(),
                record.getPart(),
                record.getParts(),
                record.getClaimsList().stream().map(ClaimCodec::copied).toList());
    }

    private static CopiedClaimRecord copied(ClaimMessage.ClaimCopy claim) {
        CopiedClaimRecord.Builder record = CopiedClaimRecord.newBuilder()
                .setKey(claim.key())
                .setClaimant(claimant(claim.claimant()))
                .setAnswered(claim.answered())
                .setAgeNanos(claim.ageNanos());
        claim.response().ifPresent(answer -> record.setAnswer(kept(answer)));
        return record.build();
    }

    private static ClaimMessage.ClaimCopy copied(CopiedClaimRecord record) {
        return new ClaimMessage.ClaimCopy(
                record.getKey(),
                claimant(record.getClaimant()),
                record.getAnswered(),
                kept(record.hasAnswer(), record.getAnswer()),
                Validate.notNegative(record.getAgeNanos(), "age"));
    }

    private static ClaimantRecord claimant(Claimant claimant) {
        return ClaimantRecord.newBuilder()
                .setHost(claimant.host())
                .setIncarnation(claimant.incarnation())
                .setRequest(claimant.request())
                .build();
    }

    private static Claimant claimant(ClaimantRecord record) {
        return new Claimant(record.getHost(), record.getIncarnation(), record.getRequest());
    }

    private static KeptAnswerRecord kept(StoredResponse answer) {
        return KeptAnswerRecord.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .build();
    }

    private static Optional<StoredResponse> kept(boolean present, KeptAnswerRecord record) {
        if (!present) {
            return Optional.empty();
        }
        return Optional.of(new StoredResponse(
                record.getStatus(), record.getContentType(), record.getBody().toByteArray()));
    }
}
