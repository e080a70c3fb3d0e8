package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.function.Function;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/**
 * How one type of message travels: its number on the wire, and both directions of its protobuf form.
 *
 * @param number number of the kind; never used again for another type
 * @param type type of the message
 * @param encoder gives the protobuf record of a message
 * @param decoder reads a message from the bytes of its record
 * @param <M> type of the message
 */
public record MessageKind<M extends PeerMessage>(
        int number, Class<M> type, Function<M, MessageLite> encoder, Decoder<M> decoder) {

    public MessageKind {
        Validate.positive(number, "number");
        Validate.notNull(type, "type");
        Validate.notNull(encoder, "encoder");
        Validate.notNull(decoder, "decoder");
    }

    /** Reads a message; a malformed one ends in either exception. */
    @FunctionalInterface
    public interface Decoder<M> {
        /** Reads a message, or throws {@link IllegalArgumentException} where a field is out of range. */
        M decode(ByteString body) throws InvalidProtocolBufferException;
    }

    /** Returns the bytes of a message of this kind's type. */
    ByteString encode(PeerMessage message) {
        return encoder.apply(type.cast(message)).toByteString();
    }
}
