package org.knapweedhatch.release;

import java.util.Comparator;
import java.util.List;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.View;

/**
 * Chooses the hosts of each failure domain that watch the platform, so that its calls grow with the domains and not
 * with the fleet; the others follow their peers.
 */
public final class WatcherSelection {

    /** Hosts of a failure domain that watch. */
    public static final int PER_DOMAIN = 2;

    private WatcherSelection() {}

    /** Returns the names of the hosts of a failure domain that watch, as this view shows the domain. */
    public static List<String> of(View view, String domain) {
        return view.members().values().stream()
                .filter(m -> m.host().domain().equals(domain) && m.state().takesWork())
                .map(Member::name)
                .sorted(Comparator.comparing(Digests::sha256))
                .limit(PER_DOMAIN)
                .toList();
    }

    /** Returns whether the host whose view this is watches; a host that sees no member of its domain does. */
    public static boolean includesSelf(View view, String domain) {
        List<String> names = of(view, domain);
        return names.isEmpty() || names.contains(view.self());
    }
}
