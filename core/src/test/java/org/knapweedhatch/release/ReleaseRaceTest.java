package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.RepeatedTest;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.release.Acceptance.Accepted;

/** Concurrent operators on one platform that loses responses and drops writes. */
class ReleaseRaceTest {

    private static final int OPERATORS = 8;
    private static final int NOTES_EACH = 6;

    private final MemoryPlatform platform = MemoryPlatform.create(pause -> {});

    /** Submits notes that each add a distinct region, retrying until accepted; returns their configuration numbers. */
    private List<Long> acceptNotes(int operator) {
        ReleaseStore store = ReleaseStore.over(platform, pause -> {});
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < NOTES_EACH; i++) {
            ReleaseNote note = TestNotes.of("[add region r" + operator + "-" + i + "]\n");
            Acceptance acceptance = store.accept(note);
            while (!(acceptance instanceof Accepted)) {
                acceptance = store.accept(note);
            }
            numbers.add(((Accepted) acceptance).number());
            injectFault(operator + i);
        }
        return numbers;
    }

    private void injectFault(int turn) {
        if (turn % 3 == 0) {
            platform.loseResponses(2);
        } else if (turn % 3 == 1) {
            platform.dropWrites(1);
        }
    }

    @RepeatedTest(10)
    void eachNoteIsAppliedOnceUnderUniqueNumber() throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(OPERATORS);
        List<Callable<List<Long>>> tasks = new ArrayList<>();
        for (int operator = 0; operator < OPERATORS; operator++) {
            int index = operator;
            tasks.add(() -> acceptNotes(index));
        }
        Set<Long> numbers = new HashSet<>();
        for (Future<List<Long>> result : threads.invokeAll(tasks)) {
            for (long number : result.get()) {
                assertTrue(numbers.add(number), "two notes have number " + number);
            }
        }
        threads.shutdown();
        ReleaseStore store = ReleaseStore.over(platform, pause -> {});
        assertEquals(OPERATORS * NOTES_EACH, store.current().orThrow().number());
        assertEquals(OPERATORS * NOTES_EACH, store.current().orThrow().regions().size());
    }
}
