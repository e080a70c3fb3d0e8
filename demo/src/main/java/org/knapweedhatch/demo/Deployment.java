package org.knapweedhatch.demo;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.daemon.EntryHost;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.settings.Settings;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One whole deployment on loopback: platform, targets and nine hosts, each on sockets of its own. */
final class Deployment implements AutoCloseable {

    private static final String PLATFORM_IP = "127.3.0.1";
    private static final int PLATFORM_PORT = 7000;
    private static final String CREDENTIAL = "demo-platform-credential";
    private static final String SECRET = "demo-secret-of-all-hosts";
    private static final Duration SERVICE_TIME = Duration.ofMillis(8);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(6);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int TARGET_THREADS = 4;

    private final PlatformStandIn platform;
    private final HttpCaller http = HttpCaller.create();
    private final ReleaseStore releases;
    private final Configuration configuration;
    private final List<TargetStandIn> targets = new ArrayList<>();
    private final List<EntryHost> hosts = new ArrayList<>();
    private final XnioWorker targetWorker;

    private Deployment(Path note) throws IOException {
        platform = PlatformStandIn.start(PLATFORM_IP, PLATFORM_PORT, CREDENTIAL, MemoryPlatform.create());
        releases = ReleaseStore.over(client(), Waiter.blocking());
        accept(note.getFileName().toString(), Files.readAllBytes(note));
        configuration = releases.current().orThrow();
        targetWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, TARGET_THREADS));
        for (Target target : configuration.targets().values()) {
            targets.add(TargetStandIn.of(target, SERVICE_TIME).start(targetWorker));
        }
        for (Host host : HostPlan.of(configuration)) {
            start(host);
        }
    }

    /** Starts a deployment under a release note. */
    static Deployment start(Path note) throws IOException {
        return new Deployment(note);
    }

    private ObjectApi client() {
        return HttpPlatform.create(http, URI.create("http://" + PLATFORM_IP + ":" + PLATFORM_PORT), CREDENTIAL);
    }

    private void start(Host host) {
        platform.platform().addHost(new ListedHost(host, false));
        Settings settings = new Settings(
                host, List.of(), new Address(PLATFORM_IP, PLATFORM_PORT), CREDENTIAL, SECRET, DRAIN_TIME, STOP_TIMEOUT);
        hosts.add(EntryHost.start(settings, client(), TimeSource.system()));
    }

    /** Accepts a release note and returns the number of its configuration. */
    long accept(String name, byte[] note) {
        ReleaseNote parsed = ReleaseNote.parse(name, note).orThrow();
        Acceptance acceptance = releases.accept(parsed, OptionalLong.empty());
        if (acceptance instanceof Acceptance.Accepted accepted) {
            return accepted.number();
        }
        throw new IllegalStateException("the release was not accepted: " + acceptance);
    }

    /** Returns the configuration of the first release. */
    Configuration configuration() {
        return configuration;
    }

    /** Returns the running hosts. */
    List<EntryHost> hosts() {
        return hosts;
    }

    /** Returns the targets. */
    List<TargetStandIn> targets() {
        return targets;
    }

    /** Returns the platform's stand-in. */
    MemoryPlatform platform() {
        return platform.platform();
    }

    /** Returns the HTTP client that callers share. */
    HttpCaller http() {
        return http;
    }

    @Override
    public void close() {
        hosts.forEach(EntryHost::stop);
        targets.forEach(TargetStandIn::stop);
        targetWorker.shutdownNow();
        http.close();
        platform.close();
    }
}
