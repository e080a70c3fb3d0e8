package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import org.knapweedhatch.peer.proto.OfferRequestRecord;
import org.knapweedhatch.peer.proto.PieceAnswerRecord;
import org.knapweedhatch.peer.proto.PieceRequestRecord;
import org.knapweedhatch.peer.proto.ReleaseOfferRecord;
import org.knapweedhatch.release.OfferRequest;
import org.knapweedhatch.release.PieceAnswer;
import org.knapweedhatch.release.PieceRequest;
import org.knapweedhatch.release.ReleaseOffer;

/** The messages by which hosts pass configurations on. */
public final class ConfigurationCodec implements PeerCodec {

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        40,
                        OfferRequest.class,
                        message -> OfferRequestRecord.getDefaultInstance(),
                        body -> offerRequest(OfferRequestRecord.parseFrom(body))),
                new MessageKind<>(
                        41,
                        ReleaseOffer.class,
                        ConfigurationCodec::offer,
                        body -> offer(ReleaseOfferRecord.parseFrom(body))),
                new MessageKind<>(
                        42,
                        PieceRequest.class,
                        ConfigurationCodec::request,
                        body -> request(PieceRequestRecord.parseFrom(body))),
                new MessageKind<>(
                        43,
                        PieceAnswer.class,
                        ConfigurationCodec::answer,
                        body -> answer(PieceAnswerRecord.parseFrom(body))));
    }

    @SuppressWarnings("UnusedVariable")
    private static OfferRequest offerRequest(OfferRequestRecord record) {
        return new OfferRequest();
    }

    private static ReleaseOfferRecord offer(ReleaseOffer message) {
        return ReleaseOfferRecord.newBuilder()
                .setNumber(message.number())
                .setManifest(message.manifest())
                .build();
    }

    private static ReleaseOffer offer(ReleaseOfferRecord record) {
        return new ReleaseOffer(record.getNumber(), record.getManifest());
    }

    private static PieceRequestRecord request(PieceRequest message) {
        return PieceRequestRecord.newBuilder().addAllDigests(message.digests()).build();
    }

    private static PieceRequest request(PieceRequestRecord record) {
        return new PieceRequest(record.getDigestsList());
    }

    private static PieceAnswerRecord answer(PieceAnswer message) {
        return PieceAnswerRecord.newBuilder()
                .setDigest(message.digest())
                .setBody(ByteString.copyFrom(message.body()))
                .build();
    }

    private static PieceAnswer answer(PieceAnswerRecord record) {
        return new PieceAnswer(record.getDigest(), record.getBody().toByteArray());
    }
}
