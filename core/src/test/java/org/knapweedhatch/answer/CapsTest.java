package org.knapweedhatch.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedhatch.answer.FakeWorld.ReportFault;

/** Checks the caps on traffic shifts, slots and link bytes under missing, late, frozen and wrong load reports. */
class CapsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final double CAP = 0.2;
    private static final Map<String, Integer> SKEWED = Map.of("lima", 6, "arequipa", 1, "trujillo", 1);

    @ParameterizedTest
    @EnumSource
    void noCapIsExceededWhateverTheReportsSay(ReportFault fault) {
        for (double load : new double[] {0.5, 1, 2, 3}) {
            FakeWorld world = world(fault, load, Long.MAX_VALUE);
            checkShifts(world);
            checkSlots(world);
        }
    }

    @ParameterizedTest
    @EnumSource
    void noLinkCarriesMoreThanItsBytes(ReportFault fault) {
        FakeWorld world = world(fault, 1, 40_000);
        checkShifts(world);
        world.linkBytes.forEach((link, bytes) -> assertTrue(bytes <= 40_000, () -> link + " carried " + bytes));
        if (fault == ReportFault.NONE) {
            assertTrue(world.linkBytes.getOrDefault("arequipa->lima", 0L) > 30_000, "the link budget was not used");
        }
    }

    private static FakeWorld world(ReportFault fault, double load, long linkBytes) {
        Deployment deployment = Deployment.of(List.of("orders"), 1, CAP, TIMEOUT);
        FakeWorld world = new FakeWorld(deployment, TIMEOUT, 71, false);
        world.linkBytesLimit = linkBytes;
        world.at(Duration.ofSeconds(3), () -> world.reportFault = fault);
        double capacity = deployment.slots() / (world.serviceTime.toNanos() / 1e9);
        new Traffic(world, 72, Duration.ofSeconds(12))
                .sendAll("orders", load * capacity, SKEWED)
                .run();
        return world;
    }

    private static void checkShifts(FakeWorld world) {
        world.shifted.forEach((window, shifted) -> {
            String origin = window.substring(0, window.indexOf("->"));
            long arrived = world.arrivalsByOrigin.getOrDefault(origin, 0L);
            assertTrue(shifted.size() <= CAP * arrived, () -> window + ": " + shifted.size() + " of " + arrived);
        });
    }

    private static void checkSlots(FakeWorld world) {
        for (FakeTarget target : world.targets.values()) {
            assertTrue(target.maxRunning <= target.target.slots(), () -> target.target + " ran " + target.maxRunning);
            assertEquals(0, target.running());
        }
    }
}
