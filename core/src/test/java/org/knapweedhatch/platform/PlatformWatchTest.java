package org.knapweedhatch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;

class PlatformWatchTest {

    private static final Duration OUTAGE = Duration.ofHours(1);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final MemoryPlatform platform = MemoryPlatform.create(time::advance);

    private PlatformWatch watch(int seed) {
        return PlatformWatch.of(platform, "release/", time::advance, new Random(seed)::nextDouble);
    }

    @Test
    void eachChangeIsReturnedOnceAndLatestAfterOutage() {
        PlatformWatch watch = watch(1);
        StoredObject first = platform.create("release/head", new byte[] {1}).orThrow();
        assertEquals(first, watch.next().orThrow().get(0));
        platform.setDown(true);
        assertFalse(watch.next().isOk());
        platform.setDown(false);
        StoredObject second =
                platform.update("release/head", new byte[] {2}, first.version()).orThrow();
        assertEquals(second, watch.next().orThrow().get(0));
    }

    @Test
    void hourLongOutageMakesFewCallsPerMinute() {
        PlatformWatch watch = watch(2);
        platform.setDown(true);
        while (time.nanos() < OUTAGE.toNanos()) {
            watch.next();
        }
        long calls = platform.counts().watches();
        assertTrue(calls <= 2 * OUTAGE.toSeconds() / PlatformWatch.MAX_BACKOFF.toSeconds() + 20, "calls " + calls);
    }

    @Test
    void hostsReconnectSpreadOverMaxBackoff() {
        Map<Long, Integer> perHalfSecond = new TreeMap<>();
        int hosts = 1_000;
        for (int host = 0; host < hosts; host++) {
            ManualTime hostTime = ManualTime.startingAt(Instant.EPOCH);
            MemoryPlatform down = MemoryPlatform.create(hostTime::advance);
            PlatformWatch watch = PlatformWatch.of(down, "release/", hostTime::advance, new Random(host)::nextDouble);
            down.setDown(true);
            while (hostTime.nanos() < OUTAGE.toNanos()) {
                watch.next();
            }
            Duration reconnected = Duration.ofNanos(hostTime.nanos()).minus(OUTAGE);
            perHalfSecond.merge(reconnected.toMillis() / 500, 1, Integer::sum);
        }
        int most = perHalfSecond.values().stream().mapToInt(i -> i).max().orElseThrow();
        assertTrue(most <= hosts / 4, perHalfSecond.toString());
        assertTrue(perHalfSecond.keySet().stream().allMatch(k -> k <= PlatformWatch.MAX_BACKOFF.toMillis() / 500));
    }

    @Test
    void watchRecoversAfterVersionReset() {
        MemoryPlatform restored = MemoryPlatform.create(time::advance);
        restored.create("release/head", new byte[] {7});
        boolean[] swapped = {false};
        ObjectApi api = new SwitchedApi(platform, restored, () -> swapped[0]);
        PlatformWatch watch = PlatformWatch.of(api, "release/", time::advance, () -> 0.5);
        for (int i = 0; i < 5; i++) {
            platform.create("other/" + i, new byte[0]);
        }
        platform.create("release/head", new byte[] {1});
        assertEquals(1, watch.next().orThrow().size());
        swapped[0] = true;
        boolean seen = false;
        for (int i = 0; i < 20 && !seen; i++) {
            seen = !watch.next().orThrow().isEmpty();
        }
        assertTrue(seen);
    }
}
