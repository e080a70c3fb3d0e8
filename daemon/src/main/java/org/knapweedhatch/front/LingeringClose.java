package org.knapweedhatch.front;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Closes a connection behind its last response in a way that does not lose that response. */
final class LingeringClose {

    /**
     * How long input is still read after the last response: closing with unread input resets the connection, and the
     * caller might lose that response.
     */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private LingeringClose() {}

    /** Ends the output of a connection, and closes it in a while; returns false where its kind has no such end. */
    static boolean begin(Channel channel) {
        if (!(channel instanceof SocketChannel socket)) {
            return false;
        }
        socket.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER.toMillis(), TimeUnit.MILLISECONDS);
        return true;
    }
}
