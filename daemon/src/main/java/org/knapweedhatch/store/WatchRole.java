package org.knapweedhatch.store;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.release.WatcherSelection;

/**
 * Whether this host watches the store itself, or hears of changes from the watching hosts of its failure domain, so
 * that the calls to the store grow with the number of domains and not with the number of hosts.
 *
 * <p>Thread-safe.
 */
public final class WatchRole {

    /** Time after a start within which other hosts are usually found; a host alone does not watch before. */
    private static final Duration DISCOVERY_TIME = Duration.ofMillis(500);

    private final String domain;
    private final TimeSource time;
    private final long startNanos;
    private volatile List<String> watchers = List.of();
    private volatile List<String> mates = List.of();
    private volatile boolean selected;
    private volatile boolean first = true;
    private volatile boolean alone = true;
    private final Set<String> withoutEra = ConcurrentHashMap.newKeySet();

    private WatchRole(String domain, TimeSource time) {
        this.domain = domain;
        this.time = time;
        startNanos = time.nanos();
    }

    /** Creates the role of a host in a failure domain, which knows no other hosts yet. */
    public static WatchRole of(String domain, TimeSource time) {
        return new WatchRole(Validate.notEmpty(domain, "domain"), Validate.notNull(time, "time"));
    }

    /** Updates the role from the current membership. */
    public void update(MembershipView view) {
        List<String> chosen = WatcherSelection.of(view, domain);
        mates = view.members().values().stream()
                .filter(member -> member.host().domain().equals(domain))
                .map(Member::name)
                .filter(name -> !name.equals(view.self()))
                .toList();
        first = chosen.isEmpty() || chosen.get(0).equals(view.self());
        watchers = chosen;
        selected = chosen.isEmpty() || chosen.contains(view.self());
        alone = view.members().size() < 2;
    }

    /** Returns whether this host watches the store, for all hosts of its domain or for itself only. */
    public boolean watches() {
        return isAssigned() || watchers.stream().anyMatch(withoutEra::contains);
    }

    private boolean isAssigned() {
        return alone ? time.since(startNanos).compareTo(DISCOVERY_TIME) >= 0 : selected;
    }

    /**
     * Records whether the changes that a host sends can be ordered. Those of a host of an earlier version of the
     * program state no era; while such a host watches for the domain, this one watches for itself.
     */
    void statesEra(String host, boolean states) {
        if (states) {
            withoutEra.remove(host);
        } else {
            withoutEra.add(host);
        }
    }

    /** Returns the hosts of the failure domain that watch the store. */
    public List<String> watchers() {
        return watchers;
    }

    /**
     * Returns whether this host is the one of its failure domain that watches without delay; the others are told by it
     * and only watch in case it cannot.
     */
    public boolean isFirst() {
        return first;
    }

    /** Returns the hosts that this host tells of changes; empty if it does not watch the store. */
    public List<String> receivers() {
        return isAssigned() ? mates : List.of();
    }
}
