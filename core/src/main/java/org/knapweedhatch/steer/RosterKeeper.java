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
 * Proposes changes of the roster: who joins, who becomes inactive or active again, who is gone.
 *
 * <p>Only a host itself makes itself active. A host changes the standing of others only inside its own region, and only
 * while it hears a majority of that region. A silent host is removed only once the platform's host list has not named
 * it for {@link #GONE_AFTER}.
 *
 * <pre>{@code
 * keeper.read(roster, object.version());
 * keeper.view(membership.view());
 * keeper.proposal().ifPresent(this::write);
 * }</pre>
 */
public final class RosterKeeper {

    /** Time for which a host is neither listed nor heard before it counts as gone. */
    public static final Duration GONE_AFTER = Duration.ofSeconds(60);

    private static final long TURN_NANOS = Duration.ofMillis(300).toNanos();
    private static final int LAST_TURN = 8;
    private static final long SETTLE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long NEVER = Long.MIN_VALUE;

    private final Host self;
    private final long incarnation;
    private final TimeSource time;
    private final long activeFrom;
    private final Map<String, Long> unheardSince = new HashMap<>();
    private final Map<String, Long> unlistedSince = new HashMap<>();
    private Roster roster;
    private long version;
    private boolean read;
    private MembershipView view;
    private boolean leaving;
    private long wantedSince = NEVER;
    private long quietUntil;

    private RosterKeeper(Host self, long incarnation, Duration activeAfter, TimeSource time) {
        this.self = Validate.notNull(self, "self");
        this.incarnation = incarnation;
        this.time = Validate.notNull(time, "time");
        view = MembershipView.of(self.name(), List.of());
        roster = Roster.of(0, 0, List.of());
        quietUntil = time.nanos();
        activeFrom = time.nanos() + activeAfter.toNanos();
    }

    /**
     * Creates the keeper of a process; it stays inactive for {@code activeAfter}, until requests of an earlier process
     * at its name have ended at their targets.
     */
    public static RosterKeeper of(Host self, long incarnation, Duration activeAfter, TimeSource time) {
        return new RosterKeeper(self, incarnation, activeAfter, time);
    }

    /** Takes the roster as it was read, with the version of its object; an older one changes nothing. */
    public synchronized void read(Roster next, long objectVersion) {
        read = true;
        if (next.number() >= roster.number()) {
            roster = next;
            version = objectVersion;
            wantedSince = NEVER;
        }
    }

    /** Notes that the platform holds no roster yet. */
    public synchronized void absent() {
        read = true;
    }

    /** Takes in the members as this host sees them now. */
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

    /** Takes in the platform's host list, freshly read; a list without this host itself is not believed. */
    public synchronized void listed(List<ListedHost> hosts) {
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

    /** Makes this host inactive, since it leaves. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Returns whether this host leaves and the roster shows it inactive, or no longer names it. */
    public synchronized boolean hasLeft() {
        Roster.Entry own = roster.entries().get(self.name());
        return leaving && (own == null || !own.active() || own.incarnation() != incarnation);
    }

    /** Returns the update to try now, if one is due; read the object back whatever comes of it. */
    public synchronized Optional<RosterProposal> proposal() {
        long now = time.nanos();
        if (!read || now < quietUntil) {
            return Optional.empty();
        }
        Map<String, Roster.Entry> next = new HashMap<>(roster.entries());
        boolean own = changeSelf(next, now);
        changeOthers(next, now);
        if (next.equals(roster.entries())) {
            wantedSince = NEVER;
            return Optional.empty();
        }
        if (!own && !isDue(now)) {
            return Optional.empty();
        }
        quietUntil = now + RETRY_NANOS;
        return Optional.of(new RosterProposal(version, roster.next(next.values())));
    }

    private boolean changeSelf(Map<String, Roster.Entry> next, long now) {
        Roster.Entry entry = next.get(self.name());
        boolean known = entry != null && entry.incarnation() >= incarnation;
        if (known && entry.incarnation() > incarnation || !known && leaving) {
            return false;
        }
        if (!known) {
            next.put(self.name(), entry(self, incarnation, false));
            return true;
        }
        boolean wantsActive = !leaving && now >= activeFrom;
        boolean mayChange = entry.active() ? leaving : wantsActive && hearsMajority();
        if (mayChange) {
            next.put(self.name(), entry(self, incarnation, wantsActive));
        }
        return mayChange;
    }

    private void changeOthers(Map<String, Roster.Entry> next, long now) {
        for (Member member : view.members().values()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(self.name())) {
                join(next, member);
            }
        }
        if (!hearsMajority()) {
            return;
        }
        for (Roster.Entry entry : roster.inRegion(self.region())) {
            judge(next, entry, now);
        }
    }

    private static void join(Map<String, Roster.Entry> next, Member member) {
        Roster.Entry entry = next.get(member.name());
        if (entry == null || entry.incarnation() < member.incarnation()) {
            next.put(member.name(), entry(member.host(), member.incarnation(), false));
        }
    }

    private void judge(Map<String, Roster.Entry> next, Roster.Entry entry, long now) {
        boolean replaced = !entry.equals(next.get(entry.host()));
        if (replaced || entry.host().equals(self.name())) {
            return;
        }
        long unheard = now - unheardSince.getOrDefault(entry.host(), now);
        long unlisted = now - unlistedSince.getOrDefault(entry.host(), now);
        long goneAfter = GONE_AFTER.toNanos();
        if (unheard >= goneAfter && unlisted >= goneAfter) {
            next.remove(entry.host());
        } else if (entry.active() && unheard >= SETTLE_NANOS) {
            next.put(entry.host(), inactive(entry));
        }
    }

    private boolean hearsMajority() {
        List<Roster.Entry> near = roster.inRegion(self.region());
        long heard = near.stream()
                .filter(e -> e.host().equals(self.name()) || isAlive(e.host()))
                .count();
        return heard * 2 > near.size();
    }

    private boolean isAlive(String host) {
        return view.member(host).map(m -> m.state() == MemberState.ALIVE).orElse(false);
    }

    private boolean isDue(long now) {
        if (wantedSince == NEVER) {
            wantedSince = now;
        }
        List<Roster.Entry> ranked = Rendezvous.order(
                "turn:" + roster.number(), List.copyOf(roster.inRegion(self.region())), Roster.Entry::host);
        long before = ranked.stream()
                .takeWhile(e -> !e.host().equals(self.name()))
                .filter(e -> isAlive(e.host()))
                .count();
        return now - wantedSince >= Math.min(before, LAST_TURN) * TURN_NANOS;
    }

    private static Roster.Entry entry(Host host, long incarnation, boolean active) {
        return new Roster.Entry(host.name(), host.region(), host.domain(), incarnation, active);
    }

    private static Roster.Entry inactive(Roster.Entry entry) {
        return new Roster.Entry(entry.host(), entry.region(), entry.domain(), entry.incarnation(), false);
    }
}
