package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Host;

/**
 * Proposes updates of the roster: adds hosts, makes them active or inactive, and removes them.
 *
 * <p>Only a host itself makes itself active. A host deactivates or removes only hosts of its own region, and only while
 * it hears from a majority of that region. A silent host is removed only after the platform's host list has not
 * contained it for {@link #GONE_AFTER}. Thread-safe.
 *
 * <pre>{@code
 * keeper.read(roster, object.version());
 * keeper.view(membership.view());
 * keeper.proposal().ifPresent(this::write);
 * }</pre>
 */
public final class RosterUpdater {

    /** Time for which a host must be neither listed nor heard from before it is removed. */
    public static final Duration GONE_AFTER = Duration.ofSeconds(60);

    private static final long TURN_DELAY_NANOS = Duration.ofMillis(300).toNanos();
    private static final int MAX_TURN = 8;
    private static final long INACTIVE_AFTER_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long NEVER = Long.MIN_VALUE;

    private final Host self;
    private final long incarnation;
    private final TimeSource time;
    private final long activeFromNanos;
    private final Map<String, Long> unheardSince = new HashMap<>();
    private final Map<String, Long> unlistedSince = new HashMap<>();
    private Roster roster;
    private long version;
    private boolean rosterRead;
    private MembershipView view;
    private boolean leaving;
    private long changePendingSince = NEVER;
    private long nextAttemptNanos;

    private RosterUpdater(Host self, long incarnation, Duration activeAfter, TimeSource time) {
        this.self = Validate.notNull(self, "self");
        this.incarnation = incarnation;
        this.time = Validate.notNull(time, "time");
        view = MembershipView.of(self.name(), List.of());
        roster = Roster.of(0, 0, List.of());
        nextAttemptNanos = time.nanos();
        activeFromNanos = time.nanos() + activeAfter.toNanos();
    }

    /**
     * Creates the updater of a host process, which stays inactive for {@code activeAfter}, until the requests of an
     * earlier process under its name have ended at their targets.
     */
    public static RosterUpdater of(Host self, long incarnation, Duration activeAfter, TimeSource time) {
        return new RosterUpdater(self, incarnation, activeAfter, time);
    }

    /** Records the roster that was read and the version of its store object; an older roster is ignored. */
    public synchronized void rosterRead(Roster next, long objectVersion) {
        rosterRead = true;
        if (next.number() >= roster.number()) {
            roster = next;
            version = objectVersion;
            changePendingSince = NEVER;
        }
    }

    /** Records that the store holds no roster yet. */
    public synchronized void rosterAbsent() {
        rosterRead = true;
    }

    /** Updates the membership view of this host. */
    public synchronized void view(MembershipView next) {
        view = next;
        long now = time.nanos();
        for (Roster.Entry entry : roster.entries().values()) {
            if (isAlive(entry.host())) {
                unheardSince.remove(entry.host());
            } else {
                unheardSince.putIfAbsent(entry.host(), now);
            }
        }
    }

    /** Records the platform's current host list; a list without this host itself is ignored. */
    public synchronized void hostsListed(List<ListedHost> hosts) {
        Set<String> names = new HashSet<>();
        hosts.forEach(listed -> names.add(listed.host().name()));
        if (!names.contains(self.name())) {
            return;
        }
        long now = time.nanos();
        for (String host : roster.entries().keySet()) {
            if (names.contains(host)) {
                unlistedSince.remove(host);
            } else {
                unlistedSince.putIfAbsent(host, now);
            }
        }
    }

    /** Starts leaving: this host becomes inactive. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Returns whether this host is leaving and is inactive in the roster or no longer in it. */
    public synchronized boolean hasLeft() {
        Roster.Entry own = roster.entries().get(self.name());
        return leaving && (own == null || !own.active() || own.incarnation() != incarnation);
    }

    /** Returns the update to attempt now, if one is due; the caller must read the object again after every attempt. */
    public synchronized Optional<RosterProposal> nextProposal() {
        long now = time.nanos();
        if (!rosterRead || now < nextAttemptNanos) {
            return Optional.empty();
        }
        Map<String, Roster.Entry> next = new HashMap<>(roster.entries());
        boolean changesSelf = updateSelf(next, now);
        updateOthers(next, now);
        if (next.equals(roster.entries())) {
            changePendingSince = NEVER;
            return Optional.empty();
        }
        if (!changesSelf && !isOwnTurn(now)) {
            return Optional.empty();
        }
        nextAttemptNanos = now + RETRY_NANOS;
        return Optional.of(new RosterProposal(version, roster.next(next.values())));
    }

    private boolean updateSelf(Map<String, Roster.Entry> next, long now) {
        Roster.Entry entry = next.get(self.name());
        boolean known = entry != null && entry.incarnation() >= incarnation;
        if (known && entry.incarnation() > incarnation || !known && leaving) {
            return false;
        }
        if (!known) {
            next.put(self.name(), entry(self, incarnation, false));
            return true;
        }
        boolean wantsActive = !leaving && now >= activeFromNanos;
        boolean mayChange = entry.active() ? leaving : wantsActive && hearsMajority();
        if (mayChange) {
            next.put(self.name(), entry(self, incarnation, wantsActive));
        }
        return mayChange;
    }

    private void updateOthers(Map<String, Roster.Entry> next, long now) {
        for (Member member : view.members().values()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(self.name())) {
                addIfNewer(next, member);
            }
        }
        if (!hearsMajority()) {
            return;
        }
        for (Roster.Entry entry : roster.inRegion(self.region())) {
            deactivateOrRemove(next, entry, now);
        }
    }

    private static void addIfNewer(Map<String, Roster.Entry> next, Member member) {
        Roster.Entry entry = next.get(member.name());
        if (entry == null || entry.incarnation() < member.incarnation()) {
            next.put(member.name(), entry(member.host(), member.incarnation(), false));
        }
    }

    private void deactivateOrRemove(Map<String, Roster.Entry> next, Roster.Entry entry, long now) {
        boolean replaced = !entry.equals(next.get(entry.host()));
        if (replaced || entry.host().equals(self.name())) {
            return;
        }
        long unheardNanos = now - unheardSince.getOrDefault(entry.host(), now);
        long unlistedNanos = now - unlistedSince.getOrDefault(entry.host(), now);
        long goneAfterNanos = GONE_AFTER.toNanos();
        if (unheardNanos >= goneAfterNanos && unlistedNanos >= goneAfterNanos) {
            next.remove(entry.host());
        } else if (entry.active() && unheardNanos >= INACTIVE_AFTER_NANOS) {
            next.put(entry.host(), inactive(entry));
        }
    }

    private boolean hearsMajority() {
        List<Roster.Entry> regionEntries = roster.inRegion(self.region());
        long heard = regionEntries.stream()
                .filter(e -> e.host().equals(self.name()) || isAlive(e.host()))
                .count();
        return heard * 2 > regionEntries.size();
    }

    private boolean isAlive(String host) {
        return view.member(host).map(m -> m.state() == MemberState.ALIVE).orElse(false);
    }

    private boolean isOwnTurn(long now) {
        if (changePendingSince == NEVER) {
            changePendingSince = now;
        }
        List<Roster.Entry> ranked = Rendezvous.order(
                "turn:" + roster.number(), List.copyOf(roster.inRegion(self.region())), Roster.Entry::host);
        long before = ranked.stream()
                .takeWhile(e -> !e.host().equals(self.name()))
                .filter(e -> isAlive(e.host()))
                .count();
        return now - changePendingSince >= Math.min(before, MAX_TURN) * TURN_DELAY_NANOS;
    }

    private static Roster.Entry entry(Host host, long incarnation, boolean active) {
        return new Roster.Entry(host.name(), host.region(), host.domain(), incarnation, active);
    }

    private static Roster.Entry inactive(Roster.Entry entry) {
        return new Roster.Entry(entry.host(), entry.region(), entry.domain(), entry.incarnation(), false);
    }
}
