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
 * The targets as this host believes them to be, from their registrations and from evacuations.
 *
 * <pre>{@code
 * TargetBook book = TargetBook.of(time, change -> log(change));
 * book.replaceAll(registrations);
 * for (KnownTarget target : book.targets()) { ... }
 * }</pre>
 *
 * <p>The store's silence says nothing of a target: what vanishes around an outage is kept until it had the time to come
 * back. Safe for use by many threads.
 */
public final class TargetRegistry {

    /** Registrations that lapsed in an outage are back so long after its end, or gone; the platform promises 2 s. */
    public static final Duration RETURN_TIME = Duration.ofMillis(2_200);

    private final TimeSource time;
    private final Consumer<TargetChange> changeListener;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> evacuatedDomains = new HashSet<>();
    private Configuration configuration = Configuration.empty();
    private boolean storeReachable = true;
    private long storeRecoveredNanos;
    private boolean storeHadOutage;
    private long lastIncarnation;
    private volatile List<KnownTarget> targets = List.of();

    /** What is known of one name. */
    private static final class Entry {
        private Registration registration;
        private long incarnation;
        private long coldUntilNanos;
        private boolean missing;
    }

    private TargetRegistry(TimeSource time, Consumer<TargetChange> changes) {
        this.time = time;
        this.changeListener = changes;
    }

    /** Creates an empty book; {@code changes} learns of each change of belief, under the book's lock. */
    public static TargetRegistry of(TimeSource time, Consumer<TargetChange> changes) {
        return new TargetRegistry(Validate.notNull(time, "time"), Validate.notNull(changes, "changes"));
    }

    /** Returns the targets as of the last change. */
    public List<KnownTarget> targets() {
        return targets;
    }

    /** Sets the configuration, whose services say how long and how much a cold target is spared. */
    public synchronized void configure(Configuration next) {
        configuration = next;
        publish();
    }

    /** Takes in all registrations there are; names that are not among them are missing. */
    public synchronized void replaceAll(Collection<Registration> registrations) {
        Set<String> absent = new HashSet<>(entries.keySet());
        registrations.forEach(registration -> {
            absent.remove(registration.name());
            merge(registration);
        });
        absent.forEach(this::removeOrMarkMissing);
        publish();
    }

    /** Takes in a new or changed registration. */
    public synchronized void register(Registration registration) {
        merge(registration);
        publish();
    }

    /** Notes that a registration is no longer in the store. */
    public synchronized void unregister(String name) {
        removeOrMarkMissing(name);
        publish();
    }

    private void merge(Registration registration) {
        Entry entry = entries.get(registration.name());
        if (entry != null && registration.revision() < entry.registration.revision()) {
            return;
        }
        boolean newLife = entry == null || !registration.sameIncarnation(entry.registration);
        if (newLife) {
            entry = new Entry();
            entry.incarnation = ++lastIncarnation;
            entries.put(registration.name(), entry);
        }
        boolean changed = newLife || entry.missing || registration.leaving() != entry.registration.leaving();
        entry.missing = false;
        entry.registration = registration;
        long coldUntil = time.nanos() + registration.coldRemaining().toNanos();
        if (newLife || !registration.coldRemaining().isZero()) {
            entry.coldUntilNanos = newLife ? coldUntil : Math.max(entry.coldUntilNanos, coldUntil);
        }
        if (changed) {
            changeListener.accept(TargetChange.registered(registration, newLife));
        }
    }

    private void removeOrMarkMissing(String name) {
        Entry entry = entries.get(name);
        if (entry == null || entry.missing) {
            return;
        }
        if (mayReturn()) {
            entry.missing = true;
            changeListener.accept(TargetChange.missing(entry.registration));
        } else {
            entries.remove(name);
            changeListener.accept(TargetChange.gone(entry.registration));
        }
    }

    private boolean mayReturn() {
        return !storeReachable || storeHadOutage && time.since(storeRecoveredNanos).compareTo(RETURN_TIME) < 0;
    }

    /** Notes whether the store answers this host. */
    public synchronized void storeReachable(boolean reachable) {
        if (reachable && !storeReachable) {
            storeRecoveredNanos = time.nanos();
            storeHadOutage = true;
        }
        storeReachable = reachable;
    }

    /** Drops what has had the time to come back and did not; to be called several times a second. */
    public synchronized void tick() {
        if (mayReturn()) {
            return;
        }
        boolean dropped = entries.values().removeIf(entry -> {
            if (entry.missing) {
                changeListener.accept(TargetChange.gone(entry.registration));
            }
            return entry.missing;
        });
        if (dropped) {
            publish();
        }
    }

    /** Sets the failure domains whose targets get no requests; those of a domain that is taken back may be cold. */
    public synchronized void evacuate(Set<String> domains) {
        if (evacuatedDomains.equals(domains)) {
            return;
        }
        Set<String> takenBack = new HashSet<>(evacuatedDomains);
        takenBack.removeAll(domains);
        evacuatedDomains.clear();
        evacuatedDomains.addAll(domains);
        for (Entry entry : entries.values()) {
            if (takenBack.contains(entry.registration.domain())) {
                markCold(entry);
            }
        }
        publish();
    }

    /** Treats a target as cold from now on: it was away for a time and may have started anew. */
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
