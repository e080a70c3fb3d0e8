package org.knapweedhatch.target;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Target;

/**
 * Registry of the targets known to this host, built from their registrations and the evacuated failure domains.
 *
 * <pre>{@code
 * TargetRegistry registry = TargetRegistry.of(time, change -> log(change));
 * registry.replaceAll(registrations);
 * for (KnownTarget target : registry.targets()) { ... }
 * }</pre>
 *
 * <p>An outage of the store is no evidence about the targets: registrations that disappear during an outage or shortly
 * after it are kept for {@link #RETURN_TIME} after its end. Thread-safe.
 */
public final class TargetRegistry {

    /** Time after an outage of the store in which lapsed registrations must return; the platform guarantees 2 s. */
    public static final Duration RETURN_TIME = Duration.ofMillis(2_200);

    /**
     * Time after which news of the store confirm that a missing registration is gone. A host that is cut off from the
     * store gets them from other hosts, and the end of its own outage says nothing of the store.
     */
    private static final Duration CONFIRMATION_TIME = RETURN_TIME.dividedBy(2);

    private final TimeSource time;
    private final Consumer<TargetChange> changeListener;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> evacuatedDomains = new HashSet<>();
    private Configuration configuration = Configuration.empty();
    private boolean storeReachable = true;
    private long storeRecoveredNanos;
    private long lastNewsNanos;
    private boolean storeHadOutage;
    private long lastIncarnation;
    private volatile List<KnownTarget> targets = List.of();

    /** State of the target with one name. */
    private static final class Entry {
        private Registration registration;
        private long incarnation;
        private long coldUntilNanos;
        private boolean missing;
        private long missingSinceNanos;
    }

    private TargetRegistry(TimeSource time, Consumer<TargetChange> changeListener) {
        this.time = time;
        this.changeListener = changeListener;
    }

    /** Creates an empty registry; {@code changeListener} is called for each change, under the registry's lock. */
    public static TargetRegistry of(TimeSource time, Consumer<TargetChange> changeListener) {
        return new TargetRegistry(Validate.notNull(time, "time"), Validate.notNull(changeListener, "changeListener"));
    }

    /** Returns a snapshot of the targets whose service is configured. */
    public List<KnownTarget> targets() {
        return targets;
    }

    /** Sets the configuration, which defines the services, the regions of failure domains and the cold-start times. */
    public synchronized void configure(Configuration newConfiguration) {
        configuration = newConfiguration;
        publish();
    }

    /** Replaces all registrations; targets that are not among them are removed, or missing around an outage. */
    public void replaceAll(Collection<Registration> registrations) {
        replaceAll(registrations, Set.of());
    }

    /**
     * Replaces all registrations but those of some targets, whose known state is kept because the store has only an
     * older one; targets that are not among either are removed, or missing around an outage.
     */
    public synchronized void replaceAll(Collection<Registration> registrations, Set<String> kept) {
        lastNewsNanos = time.nanos();
        Set<String> absent = new HashSet<>(entries.keySet());
        absent.removeAll(kept);
        registrations.forEach(registration -> {
            absent.remove(registration.name());
            Entry known = entries.get(registration.name());
            if (known == null || !registration.isFromBefore(known.registration)) {
                merge(registration);
            }
        });
        absent.forEach(this::removeOrMarkMissing);
        publish();
    }

    /** Adds or updates a registration; an older revision is ignored. */
    public synchronized void register(Registration registration) {
        lastNewsNanos = time.nanos();
        merge(registration);
        publish();
    }

    /** Records that a registration is no longer in the store. */
    public synchronized void unregister(String name) {
        lastNewsNanos = time.nanos();
        removeOrMarkMissing(name);
        publish();
    }

    private void merge(Registration registration) {
        Entry entry = entries.get(registration.name());
        if (entry != null && registration.version().isBefore(entry.registration.version())) {
            return;
        }
        boolean newIncarnation = entry == null || !registration.sameIncarnation(entry.registration);
        if (newIncarnation) {
            entry = new Entry();
            entry.incarnation = ++lastIncarnation;
            entries.put(registration.name(), entry);
        }
        boolean changed = newIncarnation || entry.missing || registration.leaving() != entry.registration.leaving();
        entry.missing = false;
        entry.registration = registration;
        long coldUntil = time.nanos() + registration.coldRemaining().toNanos();
        if (newIncarnation || !registration.coldRemaining().isZero()) {
            entry.coldUntilNanos = newIncarnation ? coldUntil : Math.max(entry.coldUntilNanos, coldUntil);
        }
        if (changed) {
            changeListener.accept(TargetChange.registered(registration, newIncarnation));
        }
    }

    private void removeOrMarkMissing(String name) {
        Entry entry = entries.get(name);
        if (entry == null || entry.missing) {
            return;
        }
        if (mayReturn()) {
            entry.missing = true;
            entry.missingSinceNanos = time.nanos();
            changeListener.accept(TargetChange.missing(entry.registration));
        } else {
            entries.remove(name);
            changeListener.accept(TargetChange.gone(entry.registration));
        }
    }

    private boolean mayReturn() {
        return !storeReachable
                || storeHadOutage && time.since(storeRecoveredNanos).compareTo(RETURN_TIME) < 0;
    }

    /** Records whether the store is reachable from this host. */
    public synchronized void storeReachable(boolean reachable) {
        if (reachable && !storeReachable) {
            storeRecoveredNanos = time.nanos();
            storeHadOutage = true;
        }
        storeReachable = reachable;
    }

    /**
     * Records that the store came back from an older copy: registrations that it lost may return as after an outage.
     */
    public synchronized void storeRolledBack() {
        storeRecoveredNanos = time.nanos();
        storeHadOutage = true;
    }

    /** Removes missing targets that did not return in time; must be called several times a second. */
    public synchronized void tick() {
        boolean mayReturn = mayReturn();
        boolean dropped = entries.values().removeIf(entry -> {
            boolean gone = entry.missing && (!mayReturn || isConfirmedMissing(entry));
            if (gone) {
                changeListener.accept(TargetChange.gone(entry.registration));
            }
            return gone;
        });
        if (dropped) {
            publish();
        }
    }

    private boolean isConfirmedMissing(Entry entry) {
        return time.since(entry.missingSinceNanos).compareTo(RETURN_TIME) >= 0
                && lastNewsNanos - entry.missingSinceNanos >= CONFIRMATION_TIME.toNanos();
    }

    /** Sets the evacuated failure domains, whose targets are closed; targets become cold when their evacuation ends. */
    public synchronized void evacuate(Set<String> domains) {
        if (evacuatedDomains.equals(domains)) {
            return;
        }
        Set<String> restored = new HashSet<>(evacuatedDomains);
        restored.removeAll(domains);
        evacuatedDomains.clear();
        evacuatedDomains.addAll(domains);
        for (Entry entry : entries.values()) {
            if (restored.contains(entry.registration.domain())) {
                markCold(entry);
            }
        }
        publish();
    }

    /** Marks a target as cold from now on, because it was unreachable for a time and may have restarted. */
    public synchronized void markCold(String name) {
        Entry entry = entries.get(name);
        if (entry != null) {
            markCold(entry);
            publish();
        }
    }

    private void markCold(Entry entry) {
        Service service = configuration.services().get(entry.registration.service());
        if (service != null) {
            entry.coldUntilNanos = Math.max(
                    entry.coldUntilNanos, time.nanos() + service.coldStart().toNanos());
        }
    }

    private void publish() {
        Map<String, Service> services = configuration.services();
        targets = entries.values().stream()
                .filter(entry -> services.containsKey(entry.registration.service()))
                .map(entry -> toKnownTarget(entry, services.get(entry.registration.service())))
                .toList();
    }

    private KnownTarget toKnownTarget(Entry entry, Service service) {
        Registration registration = entry.registration;
        Target target = new Target(
                registration.name(),
                registration.service(),
                registration.domain(),
                registration.address(),
                registration.slots(),
                service.connections());
        String region = configuration.regionOf(registration.domain()).orElse("");
        boolean closed = registration.leaving() || evacuatedDomains.contains(registration.domain());
        return new KnownTarget(target, region, entry.incarnation, closed, entry.coldUntilNanos);
    }
}
