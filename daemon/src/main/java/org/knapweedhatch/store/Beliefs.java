package org.knapweedhatch.store;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.ObjectCache;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.platform.wire.TargetEntry;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.target.Registration;
import org.knapweedhatch.target.TargetBook;
import org.knapweedhatch.target.TargetChange;
import org.knapweedhatch.world.Configuration;

/**
 * What this host believes of the operator's wishes and of the targets, as the store or another host told it.
 *
 * <p>Safe for use by many threads; listeners are called one at a time.
 */
public final class Beliefs {

    private final Map<String, String> domains;
    private final TimeSource time;
    private final EventLog log;
    private final TargetBook targets;
    private final Map<Kind, ObjectCache> held = new EnumMap<>(Kind.class);
    private final Map<Kind, Boolean> lost = new EnumMap<>(Kind.class);
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private Set<String> evacuated = Set.of();
    private volatile Configuration configuration = Configuration.empty();
    private volatile KeyRing keys = KeyRing.empty();
    private final Set<Kind> heardOf = EnumSet.noneOf(Kind.class);
    private volatile boolean complete;

    private Beliefs(Map<String, String> domains, TimeSource time, EventLog log) {
        this.domains = domains;
        this.time = time;
        this.log = log;
        targets = TargetBook.of(time, this::logChange);
        for (Kind kind : Kind.values()) {
            held.put(kind, ObjectCache.empty());
            lost.put(kind, false);
        }
    }

    /** Creates the beliefs of a host that has heard nothing yet. */
    public static Beliefs of(Map<String, String> domains, TimeSource time, EventLog log) {
        return new Beliefs(domains, time, log);
    }

    /** Adds what is run after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the configuration in force; number 0 before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the keys in force. */
    public KeyRing keys() {
        return keys;
    }

    /** Returns the targets. */
    public List<KnownTarget> targets() {
        return targets.targets();
    }

    /** Returns whether every kind of object has been heard of, and a configuration is in force. */
    public boolean complete() {
        return complete;
    }

    /** Returns the versions of what is held, in the order of the kinds. */
    public List<Long> versions() {
        return held.values().stream().map(ObjectCache::version).toList();
    }

    /** Returns whether the last call about a kind failed. */
    public synchronized boolean isLost(Kind kind) {
        return lost.get(kind);
    }

    /** Returns everything that is held of a kind. */
    public Listing held(Kind kind) {
        return held.get(kind).listing();
    }

    /** Returns what takes in the objects of a kind from the store. */
    public KindFeed.Sink sink(Kind kind) {
        return new StoreSink(kind);
    }

    /**
     * Takes in what another host holds of a kind; older news than what is held change nothing.
     *
     * @param version version of the last change that the other host holds
     */
    public synchronized void heard(Kind kind, String from, Listing listing, long version) {
        if (!held.get(kind).replace(listing, version)) {
            return;
        }
        log.line(LineKind.DEPENDENCY)
                .put("dependency", "store")
                .put("feed", kind.name())
                .put("outcome", "heard from a host")
                .put("from", from)
                .put("asOf", listing.asOf())
                .write();
        if (kind == Kind.TARGETS) {
            // The other host's store answers, so what is not listed is gone and not just unheard of.
            targets.storeReachable(true);
        }
        believe(kind, listing);
    }

    private void believe(Kind kind, Listing listing) {
        switch (kind) {
            case CONFIGURATION -> listing.objects().forEach(this::configure);
            case TARGETS ->
                targets.replaceAll(listing.objects().stream()
                        .flatMap(entry -> decode(entry).stream())
                        .toList());
            default -> evacuate(listing);
        }
        heardOf.add(kind);
        publish();
    }

    /** Drops what has had the time to come back; to be called several times a second. */
    public synchronized void tick() {
        List<KnownTarget> before = targets.targets();
        targets.tick();
        if (targets.targets() != before) {
            publish();
        }
    }

    /** Treats a target as cold: it was away for a time and may have started anew. */
    public synchronized void chill(String target) {
        targets.chill(target);
        publish();
    }

    private void configure(StoredObject object) {
        if (!object.name().equals(OperatorConfiguration.NAME)) {
            return;
        }
        Result<Configuration> decoded = OperatorConfiguration.decode(object, domains);
        if (!decoded.isOk()) {
            log.line(LineKind.CONFIGURATION)
                    .put("outcome", "rejected")
                    .put("why", decoded.fault().toString())
                    .put("inForce", configuration.number())
                    .write();
            return;
        }
        Configuration next = decoded.orThrow();
        if (next.number() <= configuration.number()) {
            return;
        }
        log.line(LineKind.CONFIGURATION)
                .put("outcome", "in force")
                .put("number", next.number())
                .put("before", configuration.number())
                .put("revision", object.version())
                .write();
        keys = keys.withConfiguration(next);
        configuration = next;
        targets.configure(next);
    }

    private Optional<Registration> decode(StoredObject entry) {
        Result<Registration> decoded = TargetEntry.decode(entry);
        if (decoded.isOk()) {
            return Optional.of(decoded.orThrow());
        }
        log.line(LineKind.TARGET)
                .put("entry", entry.name())
                .put("outcome", "ignored")
                .put("why", decoded.fault().message())
                .put("revision", entry.version())
                .write();
        return Optional.empty();
    }

    private void evacuate(Listing listing) {
        Set<String> named = listing.objects().stream()
                .map(entry -> EvacuationEntry.domainOf(entry.name()))
                .collect(Collectors.toCollection(TreeSet::new));
        if (named.equals(evacuated)) {
            return;
        }
        log.line(LineKind.EVACUATION)
                .put("domains", String.join(" ", named))
                .put("before", String.join(" ", evacuated))
                .put("asOf", listing.asOf())
                .write();
        evacuated = named;
        targets.evacuate(named);
    }

    /** Runs the listeners under the lock: else an older state could reach them after a newer one. */
    private void publish() {
        complete = configuration.number() > 0 && heardOf.size() == Kind.values().length;
        listeners.forEach(Runnable::run);
    }

    private void logChange(TargetChange change) {
        Registration registration = change.registration();
        log.line(LineKind.TARGET)
                .put("target", registration.name())
                .put("outcome", change.kind().name())
                .put("service", registration.service())
                .put("domain", registration.domain())
                .put("address", registration.address().toString())
                .put("coldMs", registration.coldFor().toMillis())
                .put("revision", registration.revision())
                .write();
    }

    /** Takes in one kind from the store, and logs the store's loss and return, once each. */
    private final class StoreSink implements KindFeed.Sink {
        private final Kind kind;
        private long lostNanos;

        StoreSink(Kind kind) {
            this.kind = kind;
        }

        @Override
        public void listed(Listing listing) {
            synchronized (Beliefs.this) {
                if (held.get(kind).replace(listing)) {
                    believe(kind, listing);
                }
            }
        }

        @Override
        public void changed(Changes changes) {
            synchronized (Beliefs.this) {
                Changes newer = held.get(kind).apply(changes);
                switch (kind) {
                    case CONFIGURATION -> newer.changed().forEach(Beliefs.this::configure);
                    case TARGETS -> {
                        newer.changed().forEach(entry -> decode(entry).ifPresent(targets::register));
                        newer.deleted().forEach(name -> targets.unregister(TargetEntry.nameOf(name)));
                    }
                    default -> evacuate(held.get(kind).listing());
                }
                publish();
            }
        }

        @Override
        public void failed(Fault fault) {
            synchronized (Beliefs.this) {
                if (lost.put(kind, true)) {
                    return;
                }
                lostNanos = time.nanos();
                if (kind == Kind.TARGETS) {
                    targets.storeReachable(false);
                }
            }
            log.line(LineKind.DEPENDENCY)
                    .put("dependency", "store")
                    .put("feed", kind.name())
                    .put("outcome", "lost")
                    .put("why", fault.toString())
                    .write();
        }

        @Override
        public void regained() {
            synchronized (Beliefs.this) {
                lost.put(kind, false);
                if (kind == Kind.TARGETS) {
                    targets.storeReachable(true);
                }
            }
            log.line(LineKind.DEPENDENCY)
                    .put("dependency", "store")
                    .put("feed", kind.name())
                    .put("outcome", "back")
                    .putNanos("awayMs", time.nanos() - lostNanos)
                    .write();
        }
    }
}
