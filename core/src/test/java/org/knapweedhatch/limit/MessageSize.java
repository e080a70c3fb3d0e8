package org.knapweedhatch.limit;

import java.nio.charset.StandardCharsets;
import org.knapweedhatch.message.PeerMessage;

/** Estimates the encoded size of a message in bytes: variable-length integers, 8 bytes per double, and the frame. */
final class MessageSize {

    private static final int FRAME_BYTES = 12;

    private MessageSize() {}

    static int of(PeerMessage message) {
        if (message instanceof ConfirmMessage c) {
            return FRAME_BYTES
                    + number(c.incarnation())
                    + number(c.sequence())
                    + 2
                    + number(c.version())
                    + number(c.quorumEpoch())
                    + number(c.heardQuorumEpoch())
                    + number(c.heardIncarnation());
        }
        if (message instanceof LoanRequest r) {
            return FRAME_BYTES
                    + number(r.id())
                    + number(r.incarnation())
                    + text(r.limit().name())
                    + 2
                    + number(r.renews())
                    + 9;
        }
        if (message instanceof LoanGrant g) {
            return FRAME_BYTES
                    + number(g.id())
                    + number(g.incarnation())
                    + text(g.limit().name())
                    + 2
                    + number(g.loan())
                    + number(g.renews())
                    + 27
                    + number(g.leaseNanos());
        }
        if (message instanceof LoanRelease r) {
            return FRAME_BYTES
                    + number(r.id())
                    + number(r.incarnation())
                    + text(r.limit().name())
                    + 2
                    + number(r.loan())
                    + 18;
        }
        return FRAME_BYTES + text(((SplitUpdate) message).text());
    }

    private static int text(String text) {
        return 2 + text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static int number(long value) {
        return 2 + (63 - Long.numberOfLeadingZeros(value | 1)) / 7;
    }
}
