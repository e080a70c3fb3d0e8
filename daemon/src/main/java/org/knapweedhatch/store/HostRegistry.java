package org.knapweedhatch.store;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fleet.Peers;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
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

    /** Parts into which a pause is divided, so that a stop takes effect before its end. */
    private static final int SLEEP_SLICES = 10;

    private final ObjectApi api;
    private final Host self;
    private final Peers peers;
    private final EventLog log;
    private volatile boolean stopped;
    private boolean registered;

    private HostRegistry(ObjectApi api, Host self, Peers peers, EventLog log) {
        this.api = api;
        this.self = self;
        this.peers = peers;
        this.log = log;
    }

    /** Starts the registry on a daemon thread. */
    public static HostRegistry start(ObjectApi api, Host self, Peers peers, EventLog log) {
        HostRegistry registry = new HostRegistry(api, self, peers, log);
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
            if (!registered) {
                register();
            }
            Result<List<ListedHost>> listed = api.hosts();
            if (listed.isOk()) {
                peers.addHints(listed.orThrow());
            } else {
                logFailure("not listed", HttpPlatform.HOSTS, listed.fault());
            }
            sleep(isAlone() || !registered ? DISCOVERY_INTERVAL : REFRESH_INTERVAL);
            if (!stopped && registered && isCleanupLeader()) {
                removeStaleEntries();
            }
        }
    }

    private boolean isAlone() {
        return peers.view().members().size() < 2;
    }

    private void register() {
        String name = HttpPlatform.HOSTS + self.name();
        byte[] body = Wire.write(new ListedHost(self, false));
        Result<StoredObject> created = api.create(name, body);
        if (!created.isOk() && PlatformError.CONFLICT.matches(created.fault())) {
            created = api.read(name)
                    .then(old ->
                            Arrays.equals(old.body(), body) ? Result.ok(old) : api.update(name, body, old.version()));
        }
        registered = created.isOk();
        if (!registered) {
            logFailure("not entered", name, created.fault());
        }
    }

    /** Returns whether this host is the first one alive by name, which removes the stale entries. */
    private boolean isCleanupLeader() {
        return peers.view().members().values().stream()
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
            boolean alive = peers.view()
                    .member(entry.name().substring(HttpPlatform.HOSTS.length()))
                    .filter(member -> member.state() != MemberState.SILENT)
                    .isPresent();
            if (!alive) {
                Result<Long> deleted = api.delete(entry.name(), entry.version());
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
                Thread.sleep(ThreadLocalRandom.current().nextLong(part / 2, part + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }
}
