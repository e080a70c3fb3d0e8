package org.knapweedhatch.peer;

import java.util.List;

/**
 * The kinds of messages of one package.
 *
 * <pre>{@code
 * PeerCodecs codecs = PeerCodecs.of(new MemberCodec(), new LimitCodec());
 * }</pre>
 */
@FunctionalInterface
public interface PeerCodec {

    /** Returns the kinds that this codec knows. */
    List<MessageKind<?>> kinds();
}
