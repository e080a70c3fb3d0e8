package org.knapweedhatch.store;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.platform.Changes;
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
 * What this host believes of the operator's wishes and of the targets, as the store told it.
 *
 * <p>Safe for use by many threads; listeners are called one at a time.
 */
public final class Beliefs {

    private final Map<String, String> domains;
    private final TimeSource time;
    private final EventLog log;
    private final TargetBook targets;
    private final List<Consumer<List<KnownTarget>>> targetListeners = new CopyOnWriteArrayList<>();
    private final Set<String> evacuated = new TreeSet<>();
    private volatile Configuration configuration = Configuration.empty();
    private volatile KeyRing keys = KeyRing.empty();
    private volatile boolean targetsKnown;

    private Beliefs(Map<String, String> domains, TimeSource time, EventLog log) {
        this.domains = domains;
        this.time = time;
        this.log = log;
        targets = TargetBook.of(time, this::logChange);
    }

    /** Creates the beliefs of a host that has heard nothing yet. */
    public static Beliefs of(Map<String, String> domains, TimeSource time, EventLog log) {
        return new Beliefs(domains, time, log);
    }

    /** Adds a listener of the targets. */
    public void onTargets(Consumer<List<KnownTarget>> listener) {
        targetListeners.add(listener);
    }

    /** Returns the configuration in force; number 0 before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the keys in force. */
    public KeyRing keys() {
        return keys;
    }

    /** Returns the book of targets. */
    public TargetBook targets() {
        return targets;
    }

    /** Returns whether both a configuration and the targets have been heard of. */
    public boolean complete() {
        return configuration.number() > 0 && targetsKnown;
    }

    /** Returns what takes in the operator's configuration. */
    public KindFeed.Sink configurationSink() {
        return new Sink("configuration") {
            @Override
            public void listed(Listing listing) {
                listing.objects().forEach(Beliefs.this::configure);
            }

            @Override
            public void changed(Changes changes) {
                changes.changed().forEach(Beliefs.this::configure);
            }
        };
    }

    /** Returns what takes in the registrations of targets. */
    public KindFeed.Sink targetSink() {
        return new Sink("targets") {
            @Override
            public void listed(Listing listing) {
                List<Registration> registrations = listing.objects().stream()
                        .flatMap(entry -> decode(entry).stream())
                        .toList();
                targets.replaceAll(registrations);
                targetsKnown = true;
                publish();
            }

            @Override
            public void changed(Changes changes) {
                changes.changed().forEach(entry -> decode(entry).ifPresent(targets::register));
                changes.deleted().forEach(name -> targets.unregister(TargetEntry.nameOf(name)));
                publish();
            }

            @Override
            public void failed(Fault fault) {
                super.failed(fault);
                targets.storeReachable(false);
            }

            @Override
            public void regained() {
                super.regained();
                targets.storeReachable(true);
            }
        };
    }

    /** Returns what takes in evacuations. */
    public KindFeed.Sink evacuationSink() {
        return new Sink("evacuations") {
            @Override
            public void listed(Listing listing) {
                Set<String> named = new TreeSet<>();
                listing.objects().forEach(entry -> named.add(EvacuationEntry.domainOf(entry.name())));
                evacuate(named);
            }

            @Override
            public void changed(Changes changes) {
                Set<String> named = new TreeSet<>(evacuated);
                changes.changed().forEach(entry -> named.add(EvacuationEntry.domainOf(entry.name())));
                changes.deleted().forEach(name -> named.remove(EvacuationEntry.domainOf(name)));
                evacuate(named);
            }
        };
    }

    /** Drops what has had the time to come back; to be called several times a second. */
    public void tick() {
        List<KnownTarget> before = targets.targets();
        targets.tick();
        if (targets.targets() != before) {
            publish();
        }
    }

    private synchronized void configure(StoredObject object) {
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
        keys = keys.configure(next);
        configuration = next;
        targets.configure(next);
        publish();
    }

    private java.util.Optional<Registration> decode(StoredObject entry) {
        Result<Registration> decoded = TargetEntry.decode(entry);
        if (decoded.isOk()) {
            return java.util.Optional.of(decoded.orThrow());
        }
        log.line(LineKind.TARGET)
                .put("entry", entry.name())
                .put("outcome", "ignored")
                .put("why", decoded.fault().message())
                .write();
        return java.util.Optional.empty();
    }

    private synchronized void evacuate(Set<String> named) {
        if (evacuated.equals(named)) {
            return;
        }
        log.line(LineKind.EVACUATION)
                .put("domains", String.join(" ", named))
                .put("before", String.join(" ", evacuated))
                .write();
        evacuated.clear();
        evacuated.addAll(named);
        targets.evacuate(named);
        publish();
    }

    private synchronized void publish() {
        List<KnownTarget> now = targets.targets();
        targetListeners.forEach(listener -> listener.accept(now));
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

    /** Logs the loss and the return of the store, once each. */
    private abstract class Sink implements KindFeed.Sink {
        private final String what;
        private long lostNanos;
        private boolean lost;

        Sink(String what) {
            this.what = what;
        }

        @Override
        public void failed(Fault fault) {
            if (!lost) {
                lost = true;
                lostNanos = time.nanos();
                log.line(LineKind.DEPENDENCY)
                        .put("dependency", "store")
                        .put("feed", what)
                        .put("outcome", "lost")
                        .put("why", fault.toString())
                        .write();
            }
        }

        @Override
        public void regained() {
            lost = false;
            log.line(LineKind.DEPENDENCY)
                    .put("dependency", "store")
                    .put("feed", what)
                    .put("outcome", "back")
                    .putNanos("awayMs", time.nanos() - lostNanos)
                    .write();
        }
    }
}
