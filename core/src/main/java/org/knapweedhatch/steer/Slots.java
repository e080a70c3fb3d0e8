package org.knapweedhatch.steer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Target;

/**
 * The slots that this host may spend: hard caps on the requests that run at each target.
 *
 * <p>Each target has one owner under a roster, and only its owner runs requests there. When owners change, the new one
 * waits until the earlier one has let go; while an earlier one is silent, each holds a part and the parts sum to no
 * more than the whole.
 *
 * <pre>{@code
 * slots.configure(configuration);
 * slots.adopt(roster);
 * if (slots.take(target)) {
 *     run();
 *     slots.release(target);
 * }
 * }</pre>
 */
public final class Slots {

    private final String self;
    private final long incarnation;
    private final TimeSource time;
    private final SlotTerms terms;
    private final boolean firstProcess;
    private final Map<String, State> states = new ConcurrentHashMap<>();
    private final Map<String, Boolean> idleHosts = new HashMap<>();
    private final Map<String, Long> knownBy = new HashMap<>();
    private long firstRoster;
    private volatile Map<String, Target> targets = Map.of();
    private volatile Map<String, String> regions = Map.of();
    private volatile Terms current;

    /** The counts of one target; guarded by itself. */
    private static final class State {
        private int running;
        private boolean wholeHeld;
    }

    /** An immutable picture of what a standing allows, and until when. */
    private record Terms(
            Standing standing,
            Map<String, String> owners,
            long confirmedUntil,
            long clearedFrom,
            long settledFrom,
            boolean mayBorrow) {}

    private Slots(String self, long incarnation, boolean firstProcess, SlotTerms terms, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.firstProcess = firstProcess;
        this.terms = Validate.notNull(terms, "terms");
        this.time = Validate.notNull(time, "time");
    }

    /** Creates the slots of a host that holds none yet; {@code firstProcess} where none ran at its name before. */
    public static Slots of(String self, long incarnation, boolean firstProcess, SlotTerms terms, TimeSource time) {
        return new Slots(self, incarnation, firstProcess, terms, time);
    }

    /** Takes a configuration's targets in. */
    public synchronized void configure(Configuration configuration) {
        Map<String, String> byDomain = new HashMap<>();
        configuration.domains().values().forEach(d -> byDomain.put(d.name(), d.region()));
        regions = Map.copyOf(byDomain);
        targets = configuration.targets();
        if (current != null) {
            publish(current.standing());
        }
    }

    /** Takes a roster in; an older or equal number changes nothing. */
    public synchronized void adopt(Roster roster) {
        if (current != null && roster.number() <= current.standing().roster().number()) {
            return;
        }
        if (current == null) {
            firstRoster = roster.number();
        }
        Standing next = new Standing(roster, self, terms, quietUntil(roster), carries(roster));
        knownBy.entrySet().removeIf(known -> !next.names(known.getKey(), known.getValue()));
        publish(next);
    }

    private boolean carries(Roster next) {
        if (current == null || next.number() != current.standing().roster().number() + 1) {
            return false;
        }
        long now = time.nanos();
        boolean sure = current.standing().carried() || now >= current.settledFrom();
        return sure && current.standing().active() && now < current.confirmedUntil();
    }

    private long quietUntil(Roster next) {
        long now = time.nanos();
        long longest = terms.longestRun().toNanos();
        if (current == null) {
            return firstProcess || next.lossSince() == 0 ? now : now + longest;
        }
        long quiet = current.standing().quietUntil();
        for (Roster.Entry entry : current.standing().roster().entries().values()) {
            Roster.Entry after = next.entries().get(entry.host());
            boolean gone = after == null || after.incarnation() != entry.incarnation();
            if (gone && !entry.host().equals(self) && !idleHosts.getOrDefault(entry.host(), false)) {
                quiet = Math.max(quiet, now + longest);
            }
        }
        return quiet;
    }

    private void publish(Standing standing) {
        Map<String, String> owners = new HashMap<>();
        boolean named = standing.names(self, incarnation);
        for (Target target : targets.values()) {
            String region = regions.getOrDefault(target.domain(), "");
            standing.roster()
                    .owner(target, region)
                    .map(Roster.Entry::host)
                    .filter(owner -> named || !owner.equals(self))
                    .ifPresent(owner -> owners.put(target.name(), owner));
        }
        publish(standing, Map.copyOf(owners));
    }

    private void publish(Standing standing, Map<String, String> owners) {
        current = new Terms(
                standing,
                owners,
                standing.confirmedUntil(),
                standing.clearedFrom(),
                standing.settledFrom(),
                standing.mayBorrow(knownBy.keySet()));
    }

    /** Returns the asks to send; to be called about four times in a lease. */
    public synchronized List<OutgoingMessage> tick() {
        if (current == null) {
            return List.of();
        }
        long now = time.nanos();
        RosterAsk ask = new RosterAsk(current.standing().roster().number(), now);
        return current.standing().toAsk(now).stream()
                .sorted()
                .map(host -> new OutgoingMessage(host, ask))
                .toList();
    }

    /** Returns the reply to another host's ask; empty while this host has no roster. */
    public synchronized Optional<RosterReply> on(String from, RosterAsk ask) {
        if (current == null) {
            return Optional.empty();
        }
        long number = current.standing().roster().number();
        boolean conceded = number >= ask.roster() && concede(from);
        return Optional.of(new RosterReply(incarnation, number, ask.sentNanos(), conceded, idle()));
    }

    /** Takes a reply in. */
    public synchronized void on(String from, RosterReply reply) {
        if (current != null) {
            Standing standing = current.standing();
            idleHosts.put(from, reply.idle());
            if (reply.roster() >= firstRoster && standing.names(from, reply.incarnation())) {
                knownBy.put(from, reply.incarnation());
            }
            standing.heard(from, reply, time.nanos());
            publish(standing, current.owners());
        }
    }

    private boolean concede(String asker) {
        boolean all = true;
        for (Map.Entry<String, State> entry : states.entrySet()) {
            if (asker.equals(current.owners().get(entry.getKey()))) {
                State state = entry.getValue();
                synchronized (state) {
                    state.wholeHeld &= state.running > 0;
                    all &= state.running == 0;
                }
            }
        }
        return all;
    }

    private boolean idle() {
        return !current.standing().active()
                && states.values().stream().allMatch(state -> {
                    synchronized (state) {
                        return state.running == 0;
                    }
                });
    }

    /** Returns the owner of a target under the roster in force. */
    public Optional<String> owner(String target) {
        Terms now = current;
        return now == null ? Optional.empty() : Optional.ofNullable(now.owners().get(target));
    }

    /** Returns whether this host owns a target under the roster in force. */
    boolean owns(String target) {
        return self.equals(owners().get(target));
    }

    /** Returns the owners by target; another map each time that they may have changed. */
    Map<String, String> owners() {
        Terms now = current;
        return now == null ? Map.of() : now.owners();
    }

    /** Returns how much of a target this host may hold now. */
    public Holding holding(Target target) {
        State state = states.computeIfAbsent(target.name(), name -> new State());
        synchronized (state) {
            return holding(target, state);
        }
    }

    private Holding holding(Target target, State state) {
        Terms now = current;
        if (now == null || !self.equals(now.owners().get(target.name()))) {
            return Holding.NONE;
        }
        long nanos = time.nanos();
        if (nanos >= now.confirmedUntil()) {
            return state.wholeHeld ? Holding.KEPT : Holding.NONE;
        }
        boolean settled = nanos >= now.settledFrom();
        if (state.wholeHeld) {
            return settled || now.standing().carried() ? Holding.FULL : Holding.KEPT;
        }
        if (nanos >= now.clearedFrom()) {
            state.wholeHeld = true;
            return Holding.FULL;
        }
        return settled && now.mayBorrow() ? Holding.LENT : Holding.NONE;
    }

    /** Takes one slot of a target; returns whether there was one. */
    public boolean take(Target target) {
        State state = states.computeIfAbsent(target.name(), name -> new State());
        synchronized (state) {
            if (state.running >= holding(target, state).slots(target)) {
                return false;
            }
            state.running++;
            return true;
        }
    }

    /** Gives one slot of a target back, when it is certain that the request runs there no longer. */
    public void release(Target target) {
        State state = states.get(target.name());
        synchronized (state) {
            Validate.isTrue(state.running > 0, "no slot of %s is taken", target.name());
            state.running--;
        }
    }

    /** Returns how many requests this host runs at a target. */
    public int running(String target) {
        State state = states.get(target);
        if (state == null) {
            return 0;
        }
        synchronized (state) {
            return state.running;
        }
    }
}
