package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A host and its state as observed by another host.
 *
 * @param host the host
 * @param incarnation incarnation of the process under that name; a later process has a higher one
 * @param state its observed state
 * @param configuration number of the configuration in force on it; 0 while it is not ready to serve
 * @param load its latest reported load
 */
public record Member(Host host, long incarnation, MemberState state, long configuration, Load load) {
    public Member {
        Validate.notNull(host, "host");
        Validate.notNull(state, "state");
        Validate.notNull(load, "load");
    }

    /** Returns whether it accepts new work: it is alive, does not drain and has a configuration in force. */
    public boolean takesWork() {
        return state.takesWork() && configuration > 0;
    }

    /** Returns the name of the host. */
    public String name() {
        return host.name();
    }
}
