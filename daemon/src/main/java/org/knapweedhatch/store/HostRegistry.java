package org.knapweedhatch.store;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fleet.Peers;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.world.Host;

/**
 * Registers this host in the store, reads the registered hosts to find peers, and removes entries of dead hosts; runs
 * on a thread of its own.
 *
 * <p>The entries only help to find hosts; which hosts are alive is known from heartbeats.
 */
public final class HostRegistry implements Runnable {

    /** Interval between two reads while no other host is known. */
    private static final Duration DISCOVERY_INTERVAL = Duration.ofSeconds(1);

    /** Interval between two reads otherwise, since hosts also learn of new ones from each other. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(60);

    /**
     * Time per host of the fleet over which hosts write their entries again after a rollback of the store; 50 of them a
     * second are a small part of what the store takes.
     */
    private static final Duration REWRITE_SPREAD = Duration.ofMillis(20);

    /** Interval at which a pause looks whether the store was rolled back. */
    private static final Duration ERA_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Parts into which a pause is divided, so that a stop takes effect before its end. */
    private static final int SLEEP_SLICES = 10;

    private final ObjectApi api;
    private final Host self;
    private final Supplier<MembershipView> view;
    private final Consumer<List<ListedHost>> hints;
    private final EventLog log;
    private final LongSupplier era;
    private final Waiter waiter;
    private volatile boolean stopped;
    private boolean registered;
    private long registeredEra;

    HostRegistry(
            ObjectApi api,
            Host self,
            Supplier<MembershipView> view,
            Consumer<List<ListedHost>> hints,
            EventLog log,
            LongSupplier era,
            Waiter waiter) {
        this.api = api;
        this.self = self;
        this.view = view;
        this.hints = hints;
        this.log = log;
        this.era = era;
        this.waiter = waiter;
    }

    /** Starts the registry on a daemon thread; {@code era} returns the latest era of the store that was heard of. */
    public static HostRegistry start(ObjectApi api, Host self, Peers peers, EventLog log, LongSupplier era) {
        HostRegistry registry = new HostRegistry(api, self, peers::view, peers::addHints, log, era, Waiter.blocking());
        Thread thread = new Thread(registry, "host-registry");
        thread.setDaemon(true);
        thread.start();
        return registry;
    }

    /** Stops the registry after the call in progress. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            refresh();
            sleep(isAlone() || !registered ? DISCOVERY_INTERVAL : REFRESH_INTERVAL);
            if (!stopped) {
                maintain();
            }
        }
    }

    /** Registers this host if it is not registered, and reads the registered hosts. */
    void refresh() {
        boolean wasRegistered = registered;
        if (!registered) {
            register();
        }
        Result<List<ListedHost>> listed = api.hosts();
        if (listed.isOk()) {
            hints.accept(listed.orThrow());
            // The list may be seconds old, so it says nothing of an entry just written.
            registered = registered && !(wasRegistered && isEntryLost(listed.orThrow()));
        } else {
            logFailure("not listed", HttpPlatform.HOSTS, listed.fault());
        }
    }

    /** Lets this host register again after a rollback of the store, or else removes entries of dead hosts. */
    void maintain() {
        if (registered && isRolledBack()) {
            registerAgain();
        } else if (registered && isCleanupLeader()) {
            removeStaleEntries();
        }
    }

    private boolean isRolledBack() {
        return era.getAsLong() > registeredEra;
    }

    /**
     * The entry may be lost, or be removed by a host that read it before the rollback; hosts write at various times.
     */
    private void registerAgain() {
        long spreadMillis = REWRITE_SPREAD.toMillis() * view.get().members().size();
        waiter.pause(Duration.ofMillis(ThreadLocalRandom.current().nextLong(spreadMillis + 1)));
        registered = false;
    }

    /** Returns whether the entry is not in the store; only a store that can be rolled back loses it. */
    private boolean isEntryLost(List<ListedHost> listed) {
        return registeredEra > 0
                && listed.stream().noneMatch(host -> host.host().name().equals(self.name()));
    }

    private boolean isAlone() {
        return view.get().members().size() < 2;
    }

    private void register() {
        long before = era.getAsLong();
        String name = HttpPlatform.HOSTS + self.name();
        byte[] body = Wire.write(new ListedHost(self, false));
        Result<StoredObject> created = api.create(name, body);
        if (!created.isOk() && PlatformError.CONFLICT.matches(created.fault())) {
            created = api.read(name)
                    .then(old -> Arrays.equals(old.body(), body) ? Result.ok(old) : api.update(old, body));
        }
        registered = created.isOk();
        registeredEra = created.isOk() ? Math.max(before, created.orThrow().era()) : registeredEra;
        if (!registered) {
            logFailure("not entered", name, created.fault());
        }
    }

    /** Returns whether this host is the first one alive by name, which removes the stale entries. */
    private boolean isCleanupLeader() {
        return view.get().members().values().stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .map(Member::name)
                .min(String::compareTo)
                .filter(self.name()::equals)
                .isPresent();
    }

    /**
     * Removes the entries of hosts without a heartbeat during the preceding interval, unknown or silent to membership.
     */
    private void removeStaleEntries() {
        Result<List<StoredObject>> entries = api.list(HttpPlatform.HOSTS);
        if (!entries.isOk()) {
            logFailure("not tidied", HttpPlatform.HOSTS, entries.fault());
            return;
        }
        for (StoredObject entry : entries.orThrow()) {
            boolean alive = view.get()
                    .member(entry.name().substring(HttpPlatform.HOSTS.length()))
                    .filter(member -> member.state() != MemberState.SILENT)
                    .isPresent();
            if (!alive) {
                Result<Long> deleted = api.delete(entry);
                if (deleted.isOk()) {
                    log.line(LineKind.HOST)
                            .put("entry", entry.name())
                            .put("outcome", "removed: not heard")
                            .write();
                } else {
                    logFailure("not removed", entry.name(), deleted.fault());
                }
            }
        }
    }

    private void logFailure(String outcome, String name, Fault fault) {
        log.line(LineKind.HOST)
                .put("entry", name)
                .put("outcome", outcome)
                .put("why", fault.toString())
                .write();
    }

    private void sleep(Duration span) {
        long part = span.toMillis() / SLEEP_SLICES;
        try {
            for (int i = 0; i < SLEEP_SLICES && !stopped; i++) {
                sleepUntilRollback(ThreadLocalRandom.current().nextLong(part / 2, part + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }

    private void sleepUntilRollback(long millis) throws InterruptedException {
        for (long left = millis; left > 0 && !(registered && isRolledBack()); left -= ERA_CHECK_INTERVAL.toMillis()) {
            Thread.sleep(Math.min(left, ERA_CHECK_INTERVAL.toMillis()));
        }
    }
}
