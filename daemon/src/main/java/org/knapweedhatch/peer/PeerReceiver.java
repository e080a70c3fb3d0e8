package org.knapweedhatch.peer;

import org.knapweedhatch.message.PeerMessage;

/** Takes in messages of other hosts. */
@FunctionalInterface
public interface PeerReceiver {

    /**
     * Takes in a message; called on a thread of the transport, so it must not block.
     *
     * @param from name of the sending host, proved by the shared secret
     * @param incarnation number of the sending process
     * @param message the message
     */
    void receive(String from, long incarnation, PeerMessage message);
}
