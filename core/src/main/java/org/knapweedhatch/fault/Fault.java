package org.knapweedhatch.fault;

import org.knapweedhatch.helper.Validate;

/**
 * What went wrong: the step, the peer at which it arose, and a short sentence.
 *
 * @param step the step of the work
 * @param peer the host, target, file or platform object concerned; empty where there is none
 * @param message one short sentence for people
 */
public record Fault(Step step, String peer, String message) {

    public Fault {
        Validate.notNull(step, "step");
        Validate.notNull(peer, "peer");
        Validate.notEmpty(message, "message");
    }

    /** Creates a fault. */
    public static Fault at(Step step, String peer, String message) {
        return new Fault(step, peer, message);
    }

    @Override
    public String toString() {
        return peer.isEmpty() ? step + ": " + message : step + " at " + peer + ": " + message;
    }
}
