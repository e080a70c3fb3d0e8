package org.knapweedhatch.edge;

import java.util.Optional;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** What the HTTP side needs to know of the host it runs on. */
public interface HostContext {

    /** Returns this host. */
    Host self();

    /** Returns the number of this process. */
    long incarnation();

    /** Returns the clock. */
    TimeSource time();

    /** Returns the configuration in force. */
    Configuration configuration();

    /** Returns the keys in force. */
    KeyRing keys();

    /** Returns the limits of this host. */
    Limiter limiter();

    /** Returns a host by name, where it is known. */
    Optional<Host> host(String name);

    /** Returns the proofs of relayed requests. */
    RelayProof proofs();

    /** Counts a refusal; the team is empty where it is not known. */
    void refused(String team, Reason reason);

    /** Returns the region of this host. */
    default String region() {
        return self().region();
    }

    /** Returns the region of a host, where it is known. */
    default Optional<String> region(String name) {
        return host(name).map(Host::region);
    }
}
