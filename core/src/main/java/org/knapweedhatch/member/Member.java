package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A host as another host sees it.
 *
 * @param host the host
 * @param incarnation number of the process at that host's name; a later process has a higher one
 * @param state what is known of it
 * @param configuration number of the configuration it serves under; 0 while it is not ready to serve
 * @param load its latest load summary
 */
public record Member(Host host, long incarnation, MemberState state, long configuration, Load load) {
    public Member {
        Validate.notNull(host, "host");
        Validate.notNull(state, "state");
        Validate.notNull(load, "load");
    }

    /** Returns whether new work may be given to it: it lives, stays, and has a configuration in force. */
    public boolean takesWork() {
        return state.takesWork() && configuration > 0;
    }

    /** Returns the name of the host. */
    public String name() {
        return host.name();
    }
}
