package org.knapweedhatch.steer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.Outgoing;
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
    private final SlotTimings timings;
    private final boolean firstProcess;
    private final Map<String, SlotUsage> states = new ConcurrentHashMap<>();
    private final Map<String, Boolean> hostIdle = new HashMap<>();
    private final Map<String, Long> hostsKnowingSelf = new HashMap<>();
    private long firstRosterNumber;
    private volatile Map<String, Target> targets = Map.of();
    private volatile Map<String, String> regions = Map.of();
    private volatile Ownership ownership;

    /** The counts of one target; guarded by itself. */
    private static final class SlotUsage {
        private int inFlight;
        private boolean heldInFull;
    }

    /** An immutable picture of what a standing allows, and until when. */
    private record Ownership(
            RosterConfirmation confirmation,
            Map<String, String> owners,
            long confirmedUntil,
            long clearedFrom,
            long settledFrom,
            boolean mayBorrow) {}

    private Slots(String self, long incarnation, boolean firstProcess, SlotTimings terms, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.firstProcess = firstProcess;
        this.timings = Validate.notNull(terms, "terms");
        this.time = Validate.notNull(time, "time");
    }

    /** Creates the slots of a host that holds none yet; {@code firstProcess} where none ran at its name before. */
    public static Slots of(String self, long incarnation, boolean firstProcess, SlotTimings terms, TimeSource time) {
        return new Slots(self, incarnation, firstProcess, terms, time);
    }

    /** Takes a configuration's targets in. */
    public synchronized void configure(Configuration configuration) {
        Map<String, String> byDomain = new HashMap<>();
        configuration.domains().values().forEach(d -> byDomain.put(d.name(), d.region()));
        regions = Map.copyOf(byDomain);
        targets = configuration.targets();
        if (ownership != null) {
            publish(ownership.confirmation());
        }
    }

    /** Takes a roster in; an older or equal number changes nothing. */
    public synchronized void adopt(Roster roster) {
        if (ownership != null && roster.number() <= ownership.confirmation().roster().number()) {
            return;
        }
        if (ownership == null) {
            firstRosterNumber = roster.number();
        }
        RosterConfirmation next = new RosterConfirmation(roster, self, timings, quietUntilNanos(roster), carriesOver(roster));
        hostsKnowingSelf.entrySet().removeIf(known -> !next.contains(known.getKey(), known.getValue()));
        publish(next);
    }

    private boolean carriesOver(Roster next) {
        if (ownership == null || next.number() != ownership.confirmation().roster().number() + 1) {
            return false;
        }
        long now = time.nanos();
        boolean sure = ownership.confirmation().carriedOver() || now >= ownership.settledFrom();
        return sure && ownership.confirmation().active() && now < ownership.confirmedUntil();
    }

    private long quietUntilNanos(Roster next) {
        long now = time.nanos();
        long longest = timings.maxRunTime().toNanos();
        if (ownership == null) {
            return firstProcess || next.lossSince() == 0 ? now : now + longest;
        }
        long quiet = ownership.confirmation().quietUntilNanos();
        for (Roster.Entry entry : ownership.confirmation().roster().entries().values()) {
            Roster.Entry after = next.entries().get(entry.host());
            boolean gone = after == null || after.incarnation() != entry.incarnation();
            if (gone && !entry.host().equals(self) && !hostIdle.getOrDefault(entry.host(), false)) {
                quiet = Math.max(quiet, now + longest);
            }
        }
        return quiet;
    }

    private void publish(RosterConfirmation standing) {
        Map<String, String> owners = new HashMap<>();
        boolean named = standing.contains(self, incarnation);
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

    private void publish(RosterConfirmation standing, Map<String, String> owners) {
        ownership = new Ownership(
                standing,
                owners,
                standing.confirmedUntil(),
                standing.clearedFrom(),
                standing.settledFrom(),
                standing.mayBorrow(hostsKnowingSelf.keySet()));
    }

    /** Returns the asks to send; to be called about four times in a lease. */
    public synchronized List<Outgoing> tick() {
        if (ownership == null) {
            return List.of();
        }
        long now = time.nanos();
        RosterAsk ask = new RosterAsk(ownership.confirmation().roster().number(), now);
        return ownership.confirmation().hostsToAsk(now).stream()
                .sorted()
                .map(host -> new Outgoing(host, ask))
                .toList();
    }

    /** Returns the reply to another host's ask; empty while this host has no roster. */
    public synchronized Optional<RosterReply> receive(String from, RosterAsk ask) {
        if (ownership == null) {
            return Optional.empty();
        }
        long number = ownership.confirmation().roster().number();
        boolean conceded = number >= ask.roster() && concede(from);
        return Optional.of(new RosterReply(incarnation, number, ask.sentNanos(), conceded, isIdle()));
    }

    /** Takes a reply in. */
    public synchronized void receive(String from, RosterReply reply) {
        if (ownership != null) {
            RosterConfirmation standing = ownership.confirmation();
            hostIdle.put(from, reply.idle());
            if (reply.roster() >= firstRosterNumber && standing.contains(from, reply.incarnation())) {
                hostsKnowingSelf.put(from, reply.incarnation());
            }
            standing.replyReceived(from, reply, time.nanos());
            publish(standing, ownership.owners());
        }
    }

    private boolean concede(String asker) {
        boolean all = true;
        for (Map.Entry<String, SlotUsage> entry : states.entrySet()) {
            if (asker.equals(ownership.owners().get(entry.getKey()))) {
                SlotUsage state = entry.getValue();
                synchronized (state) {
                    state.heldInFull &= state.inFlight > 0;
                    all &= state.inFlight == 0;
                }
            }
        }
        return all;
    }

    private boolean isIdle() {
        return !ownership.confirmation().active()
                && states.values().stream().allMatch(state -> {
                    synchronized (state) {
                        return state.inFlight == 0;
                    }
                });
    }

    /** Returns the owner of a target under the roster in force. */
    public Optional<String> owner(String target) {
        Ownership now = ownership;
        return now == null ? Optional.empty() : Optional.ofNullable(now.owners().get(target));
    }

    /** Returns whether this host owns a target under the roster in force. */
    boolean owns(String target) {
        return self.equals(owners().get(target));
    }

    /** Returns the owners by target; another map each time that they may have changed. */
    Map<String, String> owners() {
        Ownership now = ownership;
        return now == null ? Map.of() : now.owners();
    }

    /** Returns how much of a target this host may hold now. */
    public SlotAllowance allowance(Target target) {
        SlotUsage state = states.computeIfAbsent(target.name(), name -> new SlotUsage());
        synchronized (state) {
            return allowance(target, state);
        }
    }

    private SlotAllowance allowance(Target target, SlotUsage state) {
        Ownership now = ownership;
        if (now == null || !self.equals(now.owners().get(target.name()))) {
            return SlotAllowance.NONE;
        }
        long nanos = time.nanos();
        if (nanos >= now.confirmedUntil()) {
            return state.heldInFull ? SlotAllowance.RETAINED : SlotAllowance.NONE;
        }
        boolean settled = nanos >= now.settledFrom();
        if (state.heldInFull) {
            return settled || now.confirmation().carriedOver() ? SlotAllowance.FULL : SlotAllowance.RETAINED;
        }
        if (nanos >= now.clearedFrom()) {
            state.heldInFull = true;
            return SlotAllowance.FULL;
        }
        return settled && now.mayBorrow() ? SlotAllowance.BORROWED : SlotAllowance.NONE;
    }

    /** Takes one slot of a target; returns whether there was one. */
    public boolean tryAcquire(Target target) {
        SlotUsage state = states.computeIfAbsent(target.name(), name -> new SlotUsage());
        synchronized (state) {
            if (state.inFlight >= allowance(target, state).slots(target)) {
                return false;
            }
            state.inFlight++;
            return true;
        }
    }

    /** Gives one slot of a target back, when it is certain that the request runs there no longer. */
    public void release(Target target) {
        SlotUsage state = states.get(target.name());
        synchronized (state) {
            Validate.isTrue(state.inFlight > 0, "no slot of %s is taken", target.name());
            state.inFlight--;
        }
    }

    /** Returns how many requests this host runs at a target. */
    public int inFlight(String target) {
        SlotUsage state = states.get(target);
        if (state == null) {
            return 0;
        }
        synchronized (state) {
            return state.inFlight;
        }
    }
}
