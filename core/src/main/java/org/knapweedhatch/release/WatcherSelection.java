package org.knapweedhatch.release;

import java.util.Comparator;
import java.util.List;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;

/**
 * Selects the hosts of each failure domain that watch the platform, so that its load grows with the number of domains
 * and not with the number of hosts. The other hosts learn of releases from their peers.
 */
public final class WatcherSelection {

    /** Number of hosts of a failure domain that watch the platform. */
    public static final int PER_DOMAIN = 2;

    private WatcherSelection() {}

    /** Returns the names of the hosts of a failure domain that watch the platform, according to a membership view. */
    public static List<String> of(MembershipView view, String domain) {
        return view.members().values().stream()
                .filter(m -> m.host().domain().equals(domain) && m.state().takesWork())
                .map(Member::name)
                .sorted(Comparator.comparing(Digests::sha256))
                .limit(PER_DOMAIN)
                .toList();
    }

    /**
     * Returns whether the host that owns the view watches the platform; true if the view has no member of its domain.
     */
    public static boolean includesSelf(MembershipView view, String domain) {
        List<String> names = of(view, domain);
        return names.isEmpty() || names.contains(view.self());
    }
}
