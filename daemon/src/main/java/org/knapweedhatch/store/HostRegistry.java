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
 * Enters this host in the store's list of hosts, reads the list to find others, and removes entries of hosts that are
 * gone; on a thread of its own.
 *
 * <p>The list is a hint where to find hosts and nothing more: who lives is known from heartbeats.
 */
public final class HostRegistry implements Runnable {

    /** Pause between two readings while no other host is known. */
    private static final Duration ALONE_PAUSE = Duration.ofSeconds(1);

    /** Pause between two readings otherwise: hosts tell each other of new ones. */
    private static final Duration PAUSE = Duration.ofSeconds(60);

    /** Parts into which a pause is cut, so that a stop does not wait for its end. */
    private static final int STEPS = 10;

    private final ObjectApi api;
    private final Host self;
    private final Peers peers;
    private final EventLog log;
    private volatile boolean stopped;
    private boolean entered;

    private HostRegistry(ObjectApi api, Host self, Peers peers, EventLog log) {
        this.api = api;
        this.self = self;
        this.peers = peers;
        this.log = log;
    }

    /** Starts the thread. */
    public static HostRegistry start(ObjectApi api, Host self, Peers peers, EventLog log) {
        HostRegistry registry = new HostRegistry(api, self, peers, log);
        Thread thread = new Thread(registry, "host-registry");
        thread.setDaemon(true);
        thread.start();
        return registry;
    }

    /** Ends the thread after the call in progress. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            if (!entered) {
                enter();
            }
            Result<List<ListedHost>> listed = api.hosts();
            if (listed.isOk()) {
                peers.listed(listed.orThrow());
            } else {
                logFault("not listed", HttpPlatform.HOSTS, listed.fault());
            }
            pause(isAlone() || !entered ? ALONE_PAUSE : PAUSE);
            if (!stopped && entered && isFirst()) {
                removeGone();
            }
        }
    }

    private boolean isAlone() {
        return peers.view().members().size() < 2;
    }

    private void enter() {
        String name = HttpPlatform.HOSTS + self.name();
        byte[] body = Wire.write(new ListedHost(self, false));
        Result<StoredObject> created = api.create(name, body);
        if (!created.isOk() && PlatformError.CONFLICT.matches(created.fault())) {
            created = api.read(name)
                    .then(old ->
                            Arrays.equals(old.body(), body) ? Result.ok(old) : api.update(name, body, old.version()));
        }
        entered = created.isOk();
        if (!entered) {
            logFault("not entered", name, created.fault());
        }
    }

    /** Returns whether this host is the first living one by name, which tidies the list. */
    private boolean isFirst() {
        return peers.view().members().values().stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .map(Member::name)
                .min(String::compareTo)
                .filter(self.name()::equals)
                .isPresent();
    }

    /** Removes the entries of hosts that have not been heard for a whole pause. */
    private void removeGone() {
        Result<List<StoredObject>> entries = api.list(HttpPlatform.HOSTS);
        if (!entries.isOk()) {
            logFault("not tidied", HttpPlatform.HOSTS, entries.fault());
            return;
        }
        for (StoredObject entry : entries.orThrow()) {
            boolean heard = peers.view()
                    .member(entry.name().substring(HttpPlatform.HOSTS.length()))
                    .filter(member -> member.state() != MemberState.SILENT)
                    .isPresent();
            if (!heard) {
                Result<Long> deleted = api.delete(entry.name(), entry.version());
                if (deleted.isOk()) {
                    log.line(LineKind.HOST)
                            .put("entry", entry.name())
                            .put("outcome", "removed: not heard")
                            .write();
                } else {
                    logFault("not removed", entry.name(), deleted.fault());
                }
            }
        }
    }

    private void logFault(String outcome, String name, Fault fault) {
        log.line(LineKind.HOST)
                .put("entry", name)
                .put("outcome", outcome)
                .put("why", fault.toString())
                .write();
    }

    private void pause(Duration span) {
        long part = span.toMillis() / STEPS;
        try {
            for (int i = 0; i < STEPS && !stopped; i++) {
                Thread.sleep(ThreadLocalRandom.current().nextLong(part / 2, part + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }
}
