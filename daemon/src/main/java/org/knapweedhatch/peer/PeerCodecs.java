package org.knapweedhatch.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.proto.Envelope;

/** All kinds of messages by type and by number. */
public final class PeerCodecs {

    /** Numbers up to this one belong to the transport itself. */
    public static final int RESERVED = 9;

    private final Map<Class<?>, MessageKind<?>> byType = new HashMap<>();
    private final Map<Integer, MessageKind<?>> byNumber = new HashMap<>();

    private PeerCodecs() {}

    /** Gathers some codecs; throws where two of them claim the same number or type. */
    public static PeerCodecs of(PeerCodec... codecs) {
        PeerCodecs all = new PeerCodecs();
        for (PeerCodec codec : codecs) {
            codec.kinds().forEach(all::add);
        }
        return all;
    }

    /** Returns the codecs of every package. */
    public static PeerCodecs all() {
        return of(
                new MemberCodec(),
                new LimitCodec(),
                new ConfigurationCodec(),
                new SteerCodec(),
                new ClaimCodec(),
                new ReportCodec(),
                new StoreCodec());
    }

    private void add(MessageKind<?> kind) {
        Validate.isTrue(kind.number() > RESERVED, "kind %d is reserved", kind.number());
        Validate.isTrue(byNumber.put(kind.number(), kind) == null, "kind %d is taken", kind.number());
        Validate.isTrue(byType.put(kind.type(), kind) == null, "%s has a kind already", kind.type());
    }

    /** Returns the envelope of a message, or throws where its type has no kind. */
    public Envelope.Builder encode(PeerMessage message) {
        MessageKind<?> kind = byType.get(message.getClass());
        Validate.isTrue(kind != null, "no kind for %s", message.getClass());
        return Envelope.newBuilder().setKind(kind.number()).setBody(kind.encode(message));
    }

    /** Returns the number of each type of message, by the simple name of the type. */
    public Map<String, Integer> numbers() {
        Map<String, Integer> numbers = new TreeMap<>();
        byType.forEach((type, kind) -> numbers.put(type.getSimpleName(), kind.number()));
        return numbers;
    }

    /** Returns whether a number is known; a later version may send others. */
    public boolean knows(int number) {
        return byNumber.containsKey(number);
    }

    /** Returns the message in an envelope, or a fault naming the peer where it is malformed. */
    public Result<PeerMessage> decode(String peer, Envelope envelope) {
        Optional<MessageKind<?>> kind = Optional.ofNullable(byNumber.get(envelope.getKind()));
        if (kind.isEmpty()) {
            return Result.failed(Step.PEER, peer, "unknown kind " + envelope.getKind());
        }
        try {
            return Result.ok(kind.get().decoder().decode(envelope.getBody()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Result.failed(Step.PEER, peer, "malformed message of kind " + envelope.getKind());
        }
    }
}
