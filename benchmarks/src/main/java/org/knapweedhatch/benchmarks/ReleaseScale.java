package org.knapweedhatch.benchmarks;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.platform.CallCounts;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ConfigurationFollower;
import org.knapweedhatch.release.FollowerEffect;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseObjectNames;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.timeline.EventSink;

/** Prints time, bytes and platform calls of one change to a configuration of many client blocks. */
public final class ReleaseScale {

    private static final int REGIONS = 27;
    private static final int BLOCKS_PER_NOTE = 46_000;
    private static final int ROUNDS = 12;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final MemoryPlatform platform = MemoryPlatform.create();
    private final ReleaseStore store = ReleaseStore.over(platform, pause -> {});
    private final ConfigurationFollower follower =
            ConfigurationFollower.create(TimeSource.system(), Duration.ZERO, EventSink.none());

    private ReleaseScale() {}

    /** Runs with 23,000 and 230,000 blocks. */
    public static void main(String[] args) {
        System.out.println("blocks   accept ms   follow ms  pieces  bytes fetched  first ms  first bytes  held MB");
        for (int blocks : new int[] {23_000, 230_000}) {
            new ReleaseScale().run(blocks);
        }
    }

    private void run(int blocks) {
        fill(blocks);
        long usedBefore = usedBytes();
        Fetched first = timed(this::follow);
        long held = usedBytes() - usedBefore + first.bytes();
        List<Long> accepts = new ArrayList<>();
        List<Fetched> follows = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String cidr = cidr(blocks / 2 + 7 * round);
            ReleaseNote note = note("# " + round + "\n[change blocks r" + round + "]\ncidrs = " + cidr + "\n");
            long start = System.nanoTime();
            Acceptance acceptance = store.accept(note);
            accepts.add(System.nanoTime() - start);
            if (!(acceptance instanceof Acceptance.Accepted)) {
                throw new IllegalStateException(acceptance.toString());
            }
            follows.add(timed(this::follow));
        }
        accepts.sort(null);
        follows.sort((a, b) -> Long.compare(a.nanos(), b.nanos()));
        Fetched middle = follows.get(ROUNDS / 2);
        System.out.printf(
                Locale.ROOT,
                "%6d %11.1f %11.1f %7d %14d %9.1f %12d %8.1f%n",
                blocks,
                accepts.get(ROUNDS / 2) / NANOS_PER_MILLI,
                middle.nanos() / NANOS_PER_MILLI,
                middle.pieces(),
                middle.bytes(),
                first.nanos() / NANOS_PER_MILLI,
                first.bytes(),
                held / BYTES_PER_MEGABYTE);
    }

    /** Returns the heap in use; the bytes of pieces are shared with the platform in this process. */
    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private record Fetched(long nanos, long pieces, long bytes) {}

    private static Fetched timed(Supplier<Fetched> work) {
        long start = System.nanoTime();
        Fetched fetched = work.get();
        return new Fetched(System.nanoTime() - start, fetched.pieces(), fetched.bytes());
    }

    /** Brings the latest configuration into force on the follower. */
    private Fetched follow() {
        CallCounts before = platform.counts();
        long bytes = 0;
        List<FollowerEffect> effects = new ArrayList<>(
                follower.onHeadRead(platform.read(ReleaseObjectNames.HEAD).orThrow()));
        while (!effects.isEmpty()) {
            if (effects.remove(effects.size() - 1) instanceof FollowerEffect.ReadPiece read) {
                var object = platform.read(read.object());
                bytes += object.orThrow().body().length;
                effects.addAll(follower.onPieceRead(read.digest(), object));
            }
        }
        return new Fetched(0, platform.counts().since(before).reads(), bytes);
    }

    private void fill(int blocks) {
        StringBuilder regions = new StringBuilder();
        for (int r = 0; r < REGIONS; r++) {
            regions.append("[add region r").append(r).append("]\n");
        }
        store.accept(note(regions.toString()));
        for (int from = 0; from < blocks; from += BLOCKS_PER_NOTE) {
            StringBuilder text = new StringBuilder();
            for (int r = 0; r < REGIONS; r++) {
                text.append("[add blocks r").append(r).append("]\ncidrs =");
                for (int i = from + r; i < Math.min(blocks, from + BLOCKS_PER_NOTE); i += REGIONS) {
                    text.append(' ').append(cidr(i));
                }
                text.append('\n');
            }
            store.accept(note(text.toString()));
        }
    }

    private static ReleaseNote note(String text) {
        return ReleaseNote.parse("scale", text.getBytes(StandardCharsets.UTF_8)).orThrow();
    }

    private static String cidr(int i) {
        return (11 + (i >> 16)) + "." + (i >> 8 & 255) + "." + (i & 255) + ".0/24";
    }
}
