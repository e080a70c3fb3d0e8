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
 * The slots that this host may use: hard limits on the requests that it runs at each target.
 *
 * <p>Under a roster, each target has one owner, and only the owner runs requests there. After a change of ownership,
 * the new owner waits until the previous one has released its slots. While the previous owner is silent, each of the
 * two uses a part of the slots, and the parts never exceed the total. Thread-safe.
 *
 * <pre>{@code
 * slots.configure(configuration);
 * slots.adopt(roster);
 * if (slots.tryAcquire(target)) {
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
    private final Map<String, SlotUsage> usageByTarget = new ConcurrentHashMap<>();
    private final Map<String, Boolean> hostIdle = new HashMap<>();
    private final Map<String, Long> hostsKnowingSelf = new HashMap<>();
    private long firstRosterNumber;
    private volatile Map<String, Target> targets = Map.of();
    private volatile Map<String, String> regions = Map.of();
    private volatile Ownership ownership;

    /** Slot usage of one target; guarded by its own monitor. */
    private static final class SlotUsage {
        private int inFlight;
        private boolean heldInFull;
    }

    /**
     * Immutable snapshot of what the confirmations of the roster allow, and until when; times are monotonic
     * nanoseconds.
     */
    private record Ownership(
            RosterConfirmation confirmation,
            Map<String, String> owners,
            long confirmedUntil,
            long clearedFrom,
            long settledFrom,
            boolean mayBorrow) {}

    private Slots(String self, long incarnation, boolean firstProcess, SlotTimings timings, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.firstProcess = firstProcess;
        this.timings = Validate.notNull(timings, "timings");
        this.time = Validate.notNull(time, "time");
    }

    /** Creates the slots of a host that uses none yet; {@code firstProcess} if no process ran under its name before. */
    public static Slots of(String self, long incarnation, boolean firstProcess, SlotTimings timings, TimeSource time) {
        return new Slots(self, incarnation, firstProcess, timings, time);
    }

    /** Sets the targets and failure domains from a configuration. */
    public synchronized void configure(Configuration configuration) {
        Map<String, String> regionsByDomain = new HashMap<>();
        configuration.domains().values().forEach(d -> regionsByDomain.put(d.name(), d.region()));
        regions = Map.copyOf(regionsByDomain);
        targets = configuration.targets();
        if (ownership != null) {
            publish(ownership.confirmation());
        }
    }

    /** Adopts a roster; a roster that is not newer than the current one is ignored. */
    public synchronized void adopt(Roster roster) {
        if (ownership != null
                && roster.number() <= ownership.confirmation().roster().number()) {
            return;
        }
        if (ownership == null) {
            firstRosterNumber = roster.number();
        }
        RosterConfirmation next =
                new RosterConfirmation(roster, self, timings, quietUntilNanos(roster), carriesOver(roster));
        hostsKnowingSelf.entrySet().removeIf(known -> !next.contains(known.getKey(), known.getValue()));
        publish(next);
    }

    /** Returns whether this host is the active, confirmed owner of its targets and the next roster follows directly. */
    private boolean carriesOver(Roster next) {
        if (ownership == null
                || next.number() != ownership.confirmation().roster().number() + 1) {
            return false;
        }
        long now = time.nanos();
        boolean confirmed = ownership.confirmation().carriedOver() || now >= ownership.settledFrom();
        return confirmed && ownership.confirmation().active() && now < ownership.confirmedUntil();
    }

    /** Returns when all requests of processes that are not in the next roster have ended. */
    private long quietUntilNanos(Roster next) {
        long now = time.nanos();
        long maxRunNanos = timings.maxRunTime().toNanos();
        if (ownership == null) {
            return firstProcess || next.lossSince() == 0 ? now : now + maxRunNanos;
        }
        long quietUntil = ownership.confirmation().quietUntilNanos();
        for (Roster.Entry entry : ownership.confirmation().roster().entries().values()) {
            Roster.Entry after = next.entries().get(entry.host());
            boolean gone = after == null || after.incarnation() != entry.incarnation();
            if (gone && !entry.host().equals(self) && !hostIdle.getOrDefault(entry.host(), false)) {
                quietUntil = Math.max(quietUntil, now + maxRunNanos);
            }
        }
        return quietUntil;
    }

    private void publish(RosterConfirmation confirmation) {
        Map<String, String> owners = new HashMap<>();
        boolean inRoster = confirmation.contains(self, incarnation);
        for (Target target : targets.values()) {
            String region = regions.getOrDefault(target.domain(), "");
            confirmation
                    .roster()
                    .owner(target, region)
                    .map(Roster.Entry::host)
                    .filter(owner -> inRoster || !owner.equals(self))
                    .ifPresent(owner -> owners.put(target.name(), owner));
        }
        publish(confirmation, Map.copyOf(owners));
    }

    private void publish(RosterConfirmation confirmation, Map<String, String> owners) {
        ownership = new Ownership(
                confirmation,
                owners,
                confirmation.confirmedUntil(),
                confirmation.clearedFrom(),
                confirmation.settledFrom(),
                confirmation.mayBorrow(hostsKnowingSelf.keySet()));
    }

    /** Returns the asks to send to other hosts; must be called about four times per lease. */
    public synchronized List<OutgoingMessage> tick() {
        if (ownership == null) {
            return List.of();
        }
        long now = time.nanos();
        RosterAsk ask = new RosterAsk(ownership.confirmation().roster().number(), now);
        return ownership.confirmation().hostsToAsk(now).stream()
                .sorted()
                .map(host -> new OutgoingMessage(host, ask))
                .toList();
    }

    /** Returns the reply to another host's ask; empty if this host has no roster yet. */
    public synchronized Optional<RosterReply> receive(String from, RosterAsk ask) {
        if (ownership == null) {
            return Optional.empty();
        }
        long number = ownership.confirmation().roster().number();
        boolean conceded = number >= ask.roster() && concede(from);
        return Optional.of(new RosterReply(incarnation, number, ask.sentNanos(), conceded, isIdle()));
    }

    /** Records the reply of another host. */
    public synchronized void receive(String from, RosterReply reply) {
        if (ownership != null) {
            RosterConfirmation confirmation = ownership.confirmation();
            hostIdle.put(from, reply.idle());
            if (reply.roster() >= firstRosterNumber && confirmation.contains(from, reply.incarnation())) {
                hostsKnowingSelf.put(from, reply.incarnation());
            }
            confirmation.replyReceived(from, reply, time.nanos());
            publish(confirmation, ownership.owners());
        }
    }

    /** Gives up the full hold on idle targets of the asking host; returns whether all its targets are idle here. */
    private boolean concede(String asker) {
        boolean allReleased = true;
        for (Map.Entry<String, SlotUsage> entry : usageByTarget.entrySet()) {
            if (asker.equals(ownership.owners().get(entry.getKey()))) {
                SlotUsage usage = entry.getValue();
                synchronized (usage) {
                    usage.heldInFull &= usage.inFlight > 0;
                    allReleased &= usage.inFlight == 0;
                }
            }
        }
        return allReleased;
    }

    private boolean isIdle() {
        return !ownership.confirmation().active()
                && usageByTarget.values().stream().allMatch(usage -> {
                    synchronized (usage) {
                        return usage.inFlight == 0;
                    }
                });
    }

    /** Returns the owner of a target under the current roster. */
    public Optional<String> owner(String target) {
        Ownership current = ownership;
        return current == null
                ? Optional.empty()
                : Optional.ofNullable(current.owners().get(target));
    }

    /** Returns whether this host owns a target under the current roster. */
    boolean owns(String target) {
        return self.equals(owners().get(target));
    }

    /** Returns the owners by target name; a new map instance whenever they may have changed. */
    Map<String, String> owners() {
        Ownership current = ownership;
        return current == null ? Map.of() : current.owners();
    }

    /** Returns the portion of a target's slots that this host may use current. */
    public SlotAllowance allowance(Target target) {
        SlotUsage usage = usageByTarget.computeIfAbsent(target.name(), name -> new SlotUsage());
        synchronized (usage) {
            return allowance(target, usage);
        }
    }

    private SlotAllowance allowance(Target target, SlotUsage usage) {
        Ownership current = ownership;
        if (current == null || !self.equals(current.owners().get(target.name()))) {
            return SlotAllowance.NONE;
        }
        long now = time.nanos();
        if (now >= current.confirmedUntil()) {
            return usage.heldInFull ? SlotAllowance.RETAINED : SlotAllowance.NONE;
        }
        boolean settled = now >= current.settledFrom();
        if (usage.heldInFull) {
            return settled || current.confirmation().carriedOver() ? SlotAllowance.FULL : SlotAllowance.RETAINED;
        }
        if (now >= current.clearedFrom()) {
            usage.heldInFull = true;
            return SlotAllowance.FULL;
        }
        return settled && current.mayBorrow() ? SlotAllowance.BORROWED : SlotAllowance.NONE;
    }

    /** Acquires one slot of a target; returns false if none is free. */
    public boolean tryAcquire(Target target) {
        SlotUsage usage = usageByTarget.computeIfAbsent(target.name(), name -> new SlotUsage());
        synchronized (usage) {
            if (usage.inFlight >= allowance(target, usage).slots(target)) {
                return false;
            }
            usage.inFlight++;
            return true;
        }
    }

    /** Releases one slot of a target; must be called only when the request certainly no longer runs there. */
    public void release(Target target) {
        SlotUsage usage = usageByTarget.get(target.name());
        synchronized (usage) {
            Validate.isTrue(usage.inFlight > 0, "no slot of target %s is in use", target.name());
            usage.inFlight--;
        }
    }

    /** Returns how many slots of a target this host uses. */
    public int inFlight(String target) {
        SlotUsage usage = usageByTarget.get(target);
        if (usage == null) {
            return 0;
        }
        synchronized (usage) {
            return usage.inFlight;
        }
    }
}
