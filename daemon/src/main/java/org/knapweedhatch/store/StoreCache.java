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
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.ObjectCache;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.platform.wire.TargetEntry;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.target.Registration;
import org.knapweedhatch.target.TargetChange;
import org.knapweedhatch.target.TargetRegistry;
import org.knapweedhatch.world.Configuration;

/**
 * Cache of the stored configuration, targets and evacuations, filled from the store or from another host.
 *
 * <p>Thread-safe; change listeners are called one at a time, under the lock of the cache.
 */
public final class StoreCache {

    /** Source of what is read from the store itself, in log lines. */
    private static final String STORE = "store";

    /** Total of bodies from which changes are passed on as differences, in bytes. */
    private static final int MAX_WHOLE_BYTES = 16_000;

    private final Map<String, String> domains;
    private final TimeSource time;
    private final EventLog log;
    private final TargetRegistry targets;
    private final Map<ObjectKind, ObjectCache> held = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, UpdateLog> updates = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Boolean> unavailable = new EnumMap<>(ObjectKind.class);
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private Set<String> evacuatedDomains = Set.of();
    /** Domains that were evacuated before a rollback of the store, whose entries may yet be written again. */
    private final Set<String> evacuationsKept = new TreeSet<>();

    private long rolledBackNanos;
    private volatile Configuration configuration = Configuration.empty();
    private volatile KeyRing keys = KeyRing.empty();
    private final Set<ObjectKind> receivedKinds = EnumSet.noneOf(ObjectKind.class);
    private volatile boolean complete;
    private volatile Relay relay = Relay.NONE;

    /** Receives what this cache learns from the store, to pass it on; called under the lock of the cache. */
    public interface Relay {
        /** A relay that passes nothing on. */
        Relay NONE = new Relay() {
            @Override
            public void changed(ObjectKind kind, long fromVersion, Changes changes) {}

            @Override
            public void updated(StoreUpdate update, StoreVersion version) {}

            @Override
            public void replaced(ObjectKind kind, StoreVersion version) {}

            @Override
            public void reachable(boolean reachable) {}
        };

        /** Passes on changes from the store; {@code fromVersion} is the version of the last change before them. */
        void changed(ObjectKind kind, long fromVersion, Changes changes);

        /** Passes on changes of large objects, which lead to a version. */
        void updated(StoreUpdate update, StoreVersion version);

        /** Passes on that the objects of a kind changed up to a version, and have to be fetched. */
        void replaced(ObjectKind kind, StoreVersion version);

        /** Passes on whether the store is reachable, when that changes. */
        void reachable(boolean reachable);
    }

    private StoreCache(Map<String, String> domains, TimeSource time, EventLog log) {
        this.domains = domains;
        this.time = time;
        this.log = log;
        targets = TargetRegistry.of(time, this::logChange);
        for (ObjectKind kind : ObjectKind.values()) {
            held.put(kind, ObjectCache.empty());
            updates.put(kind, new UpdateLog());
            unavailable.put(kind, false);
        }
    }

    /** Creates an empty cache; {@code domains} maps each failure domain to its region. */
    public static StoreCache of(Map<String, String> domains, TimeSource time, EventLog log) {
        return new StoreCache(domains, time, log);
    }

    /** Sets the relay that passes on what is learnt from the store. */
    public void relay(Relay next) {
        relay = next;
    }

    /** Adds a listener that runs after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the current configuration; its number is 0 before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the keys of the current configuration. */
    public KeyRing keys() {
        return keys;
    }

    /** Returns the known targets. */
    public List<KnownTarget> targets() {
        return targets.targets();
    }

    /** Returns whether every kind of object has been received, and there is a valid configuration. */
    public boolean complete() {
        return complete;
    }

    /** Returns the version of the cached objects of each kind, in the order of {@link ObjectKind}. */
    public List<StoreVersion> versions() {
        return held.values().stream().map(ObjectCache::version).toList();
    }

    /** Returns the latest era of the store that any cached objects are of; 0 if the store states none. */
    public long era() {
        return held.values().stream()
                .mapToLong(cached -> cached.asOf().era())
                .max()
                .orElse(0);
    }

    /** Returns whether the last call to the store for a kind failed. */
    public synchronized boolean isUnavailable(ObjectKind kind) {
        return unavailable.get(kind);
    }

    /** Returns all cached objects of a kind. */
    public Listing held(ObjectKind kind) {
        return held.get(kind).listing();
    }

    /** Returns the updates that lead from a version to that of the cached objects; empty if some are unknown. */
    List<StoreUpdate> updatesSince(ObjectKind kind, StoreVersion version) {
        return updates.get(kind).between(version, held.get(kind).version());
    }

    /** Returns the listener that puts the objects of a kind from the store into this cache. */
    public StoreWatcher.Listener listener(ObjectKind kind) {
        return new StoreListener(kind);
    }

    /**
     * Replaces the objects of a kind by those that another host holds; ignored if they are older than the cached ones.
     *
     * @param version version of the last change known to the other host
     */
    public synchronized void receiveFromPeer(ObjectKind kind, String from, Listing listing, StoreVersion version) {
        StoreVersion before = held.get(kind).asOf();
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
        if (kind == ObjectKind.TARGETS) {
            // The store answers the other host, so targets missing from the listing are gone rather than merely
            // unknown.
            targets.storeReachable(true);
        }
        apply(kind, listing, before, from);
    }

    /**
     * Applies changes that another host received from the store; returns false and changes nothing if this cache lacks
     * changes before them. Changes of an earlier era, or of none if the store states one, are dropped.
     *
     * @param from name of the other host
     * @param fromVersion version of the last change before these, in their era
     */
    public synchronized boolean receiveChanges(ObjectKind kind, String from, long fromVersion, Changes changes) {
        ObjectCache cached = held.get(kind);
        if (changes.era() < cached.asOf().era()) {
            return true;
        }
        boolean complete =
                !cached.asOf().equals(StoreVersion.NONE) && cached.asOf().era() == changes.era();
        if (!complete || cached.version().revision() < fromVersion) {
            return false;
        }
        if (kind == ObjectKind.TARGETS) {
            // As in receiveFromPeer: the store answers the other host.
            targets.storeReachable(true);
        }
        applyChanges(kind, changes, from);
        return true;
    }

    /**
     * Applies an update that another host received from the store; returns false and changes nothing if this cache
     * lacks changes before it.
     *
     * @param from name of the other host
     */
    public synchronized boolean receiveUpdate(String from, StoreUpdate update) {
        ObjectCache cached = held.get(update.kind());
        if (update.upTo().era() < cached.asOf().era()) {
            return true;
        }
        StoreVersion before = cached.version();
        Optional<Changes> changes = update.applyTo(cached.listing());
        if (changes.isEmpty() || !receiveChanges(update.kind(), from, update.fromVersion(), changes.get())) {
            return false;
        }
        if (before.isBefore(cached.version())) {
            updates.get(update.kind()).add(update, cached.version());
        }
        return true;
    }

    /** Records whether the hosts that watch the store for this one reach it. */
    public synchronized void storeReachable(boolean reachable) {
        targets.storeReachable(reachable);
    }

    /** Records that this host no longer watches the store, so that its own lost calls mean nothing. */
    public synchronized void watchingEnded() {
        unavailable.replaceAll((kind, lost) -> false);
    }

    private void applyChanges(ObjectKind kind, Changes changes, String from) {
        Changes newer = held.get(kind).apply(changes);
        if (kind == ObjectKind.EVACUATIONS
                && changes.era() == held.get(kind).asOf().era()) {
            changes.deleted().forEach(name -> evacuationsKept.remove(EvacuationEntry.domainOf(name)));
        }
        switch (kind) {
            case CONFIGURATION -> newer.changed().forEach(object -> applyConfiguration(object, from));
            case TARGETS -> {
                newer.changed().forEach(this::applyTarget);
                newer.deleted().forEach(name -> targets.unregister(TargetEntry.nameOf(name)));
            }
            default -> applyEvacuations(held.get(kind).listing());
        }
        notifyListeners();
    }

    private void apply(ObjectKind kind, Listing listing, StoreVersion before, String from) {
        if (!before.equals(StoreVersion.NONE) && listing.era() > before.era()) {
            rolledBack(kind, listing.era(), before.era(), from);
        }
        switch (kind) {
            case CONFIGURATION -> listing.objects().forEach(object -> applyConfiguration(object, from));
            case TARGETS -> applyTargets(listing);
            default -> applyEvacuations(listing);
        }
        receivedKinds.add(kind);
        notifyListeners();
    }

    /** Treats what a copy of the store lacks as after an outage: its writers have some time to write it again. */
    private void rolledBack(ObjectKind kind, long era, long before, String from) {
        log.line(LineKind.DEPENDENCY)
                .put("dependency", "store")
                .put("feed", kind.name())
                .put("outcome", "rolled back")
                .put("era", era)
                .put("before", before)
                .put("from", from)
                .write();
        if (kind == ObjectKind.TARGETS) {
            targets.storeRolledBack();
        } else if (kind == ObjectKind.EVACUATIONS) {
            evacuationsKept.addAll(evacuatedDomains);
            rolledBackNanos = time.nanos();
        }
    }

    /** Registers the targets of a listing, but for entries that are older than what is known of their targets. */
    private void applyTargets(Listing listing) {
        Map<Boolean, List<StoredObject>> bySuperseded = listing.objects().stream()
                .collect(Collectors.partitioningBy(held.get(ObjectKind.TARGETS)::isSuperseded));
        Set<String> kept = bySuperseded.get(true).stream()
                .map(entry -> TargetEntry.nameOf(entry.name()))
                .collect(Collectors.toSet());
        targets.replaceAll(
                bySuperseded.get(false).stream()
                        .flatMap(entry -> decode(entry).stream())
                        .toList(),
                kept);
    }

    /**
     * Removes targets whose time to come back has expired, and evacuations that were not written again after a rollback
     * of the store; to be called several times a second.
     */
    public synchronized void tick() {
        List<KnownTarget> before = targets.targets();
        targets.tick();
        if (!evacuationsKept.isEmpty() && time.since(rolledBackNanos).compareTo(TargetRegistry.RETURN_TIME) >= 0) {
            evacuationsKept.clear();
            applyEvacuations(held.get(ObjectKind.EVACUATIONS).listing());
        }
        if (targets.targets() != before) {
            notifyListeners();
        }
    }

    /** Treats a target as cold, since it was unreachable for a time and may have restarted. */
    public synchronized void markCold(String target) {
        targets.markCold(target);
        notifyListeners();
    }

    private void applyConfiguration(StoredObject object, String from) {
        if (!object.name().equals(OperatorConfiguration.NAME)) {
            return;
        }
        long beganNanos = time.nanos();
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
                .put("from", from)
                .put("bytes", object.body().length)
                .putNanos("decodeMs", time.since(beganNanos).toNanos())
                .write();
        keys = keys.withConfiguration(next);
        configuration = next;
        targets.configure(next);
    }

    /** Registers the target of an entry; an entry that names none ends the registration that it had before. */
    private void applyTarget(StoredObject entry) {
        decode(entry).ifPresentOrElse(targets::register, () -> targets.unregister(TargetEntry.nameOf(entry.name())));
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

    private void applyEvacuations(Listing listing) {
        Set<String> evacuated = listing.objects().stream()
                .map(entry -> EvacuationEntry.domainOf(entry.name()))
                .collect(Collectors.toCollection(TreeSet::new));
        evacuated.addAll(evacuationsKept);
        if (evacuated.equals(evacuatedDomains)) {
            return;
        }
        log.line(LineKind.EVACUATION)
                .put("domains", String.join(" ", evacuated))
                .put("before", String.join(" ", evacuatedDomains))
                .put("asOf", listing.asOf())
                .write();
        evacuatedDomains = evacuated;
        targets.evacuate(evacuated);
    }

    /** Runs the listeners under the lock; otherwise an older state could reach them after a newer one. */
    private void notifyListeners() {
        complete = configuration.number() > 0 && receivedKinds.size() == ObjectKind.values().length;
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
                .put("coldMs", registration.coldRemaining().toMillis())
                .put("revision", registration.revision())
                .write();
    }

    /** Caches one kind from the store, and logs when the store becomes unavailable and available again, once each. */
    private final class StoreListener implements StoreWatcher.Listener {
        private final ObjectKind kind;
        private long unavailableSinceNanos;

        StoreListener(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        public void listed(Listing listing) {
            synchronized (StoreCache.this) {
                Listing before = held.get(kind).listing();
                long fromVersion = held.get(kind).version().revision();
                if (!held.get(kind).replace(listing)) {
                    return;
                }
                apply(kind, listing, before.upTo(), STORE);
                if (before.upTo().equals(StoreVersion.NONE)) {
                    return;
                }
                if (listing.era() > before.era()) {
                    relay.replaced(kind, held.get(kind).version());
                } else {
                    passOn(fromVersion, before, Changes.between(before, listing));
                }
            }
        }

        @Override
        public void changed(Changes changes) {
            synchronized (StoreCache.this) {
                if (changes.era() != held.get(kind).asOf().era()) {
                    // Another host told of a later era meanwhile.
                    return;
                }
                long fromVersion = held.get(kind).version().revision();
                Listing before = held.get(kind).listing();
                applyChanges(kind, changes, STORE);
                passOn(fromVersion, before, changes);
            }
        }

        private void passOn(long fromVersion, Listing before, Changes changes) {
            long bytes = changes.changed().stream()
                    .mapToLong(object -> object.body().length)
                    .sum();
            StoreVersion reached = held.get(kind).version();
            if (bytes <= MAX_WHOLE_BYTES) {
                relay.changed(kind, fromVersion, changes);
            } else if (reached.revision() == fromVersion) {
                // Another host that watches the store was faster and passes these changes on.
                relay.replaced(kind, reached);
            } else {
                StoreUpdate update = StoreUpdate.of(kind, fromVersion, before, changes);
                updates.get(kind).add(update, reached);
                relay.updated(update, reached);
            }
        }

        @Override
        public StoreVersion upTo() {
            return held.get(kind).asOf();
        }

        @Override
        public void failed(Fault fault) {
            synchronized (StoreCache.this) {
                if (unavailable.put(kind, true)) {
                    return;
                }
                unavailableSinceNanos = time.nanos();
                if (kind == ObjectKind.TARGETS) {
                    targets.storeReachable(false);
                    relay.reachable(false);
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
        public void recovered() {
            synchronized (StoreCache.this) {
                unavailable.put(kind, false);
                if (kind == ObjectKind.TARGETS) {
                    targets.storeReachable(true);
                    relay.reachable(true);
                }
            }
            log.line(LineKind.DEPENDENCY)
                    .put("dependency", "store")
                    .put("feed", kind.name())
                    .put("outcome", "back")
                    .putNanos("awayMs", time.nanos() - unavailableSinceNanos)
                    .write();
        }
    }
}
