package org.knapweedhatch.cli.replay;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.world.Host;

/** The platform as hosts and operators reach it: with the way there and back, outages and lost answers. */
final class PlatformDoor {

    private static final long TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MemoryPlatform platform = MemoryPlatform.create(pause -> {});
    private final Stage stage;
    private long slowNanos;

    PlatformDoor(Stage stage) {
        this.stage = stage;
    }

    /** Returns the platform itself, for operators who stand beside it. */
    ObjectApi direct() {
        return platform;
    }

    void down(boolean down) {
        platform.setDown(down);
    }

    void losesAnswers(boolean loses) {
        platform.loseResponses(loses ? Integer.MAX_VALUE : 0);
    }

    void slow(double millis) {
        slowNanos = (long) (millis * NANOS_PER_MILLI);
    }

    /** Adds a host to the host list, or takes it out. */
    void list(Host host, boolean listed) {
        if (listed) {
            platform.addHost(new ListedHost(host, false));
        } else {
            platform.removeHost(host.name());
        }
    }

    /** Makes a call from a failure domain and passes the outcome on after the way back. */
    <T> void call(String domain, Function<ObjectApi, Result<T>> call, Consumer<Result<T>> outcome) {
        if (!stage.network().reachesPlatform(domain)) {
            Result<T> failed = Result.failed(PlatformError.UNAVAILABLE.fault("platform", "cannot be reached"));
            stage.queue().after(TIMEOUT_NANOS, () -> outcome.accept(failed));
            return;
        }
        stage.queue().after(stage.network().platformDelay(domain) + slowNanos, () -> {
            Result<T> result = call.apply(platform);
            stage.queue().after(stage.network().platformDelay(domain), () -> outcome.accept(result));
        });
    }
}
