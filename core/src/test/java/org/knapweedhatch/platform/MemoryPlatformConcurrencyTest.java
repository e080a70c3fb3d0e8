package org.knapweedhatch.platform;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.fault.Result;

/** Linearizability of concurrent reads and conditional writes of one object. */
public class MemoryPlatformConcurrencyTest {

    private final MemoryPlatform platform = MemoryPlatform.create(pause -> {});

    private static String text(Result<StoredObject> result) {
        return result.isOk() ? "v" + result.orThrow().version() : result.fault().message();
    }

    @Operation
    public String create() {
        return text(platform.create("x", new byte[0]));
    }

    @Operation
    public String firstUpdate() {
        return text(platform.update("x", new byte[] {2}, 1));
    }

    @Operation
    public String read() {
        return text(platform.read("x"));
    }

    @Operation
    public String delete() {
        Result<Long> deleted = platform.delete("x", 1);
        return deleted.isOk() ? "v" + deleted.orThrow() : deleted.fault().message();
    }

    @Test
    void conditionalWritesAreLinearizable() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(100)
                .threads(3)
                .actorsPerThread(3)
                .check(MemoryPlatformConcurrencyTest.class);
    }
}
