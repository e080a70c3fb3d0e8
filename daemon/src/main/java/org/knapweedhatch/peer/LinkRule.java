package org.knapweedhatch.peer;

import java.time.Duration;

/**
 * What happens to messages on their way between two hosts; tests cut and delay links by it.
 *
 * <pre>{@code
 * LinkRule rule = LinkRule.(from, to) -> !to.equals("lima-a-1");
 * }</pre>
 */
public interface LinkRule {

    /** Returns whether a message from one host to another passes now. */
    boolean passes(String from, String to);

    /** Returns how long a message is held back. */
    default Duration delay(String from, String to) {
        return Duration.ZERO;
    }

    /** Returns the rule under which everything passes at once. */
    static LinkRule open() {
        return (from, to) -> true;
    }
}
