package org.knapweedhatch.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReportPacingTest {

    @Test
    void smallFleetsReportFiveTimesASecond() {
        assertEquals(Duration.ofMillis(200), ReportPacing.interval(1));
        assertEquals(Duration.ofMillis(200), ReportPacing.interval(16));
        assertEquals(1, ReportPacing.intervalFactor(9));
    }

    @Test
    void reportRateIsBoundedInLargeFleets() {
        for (int hosts : new int[] {17, 40, 58, 73, 80}) {
            double perSecond = hosts * 1e9 / ReportPacing.interval(hosts).toNanos();
            assertTrue(perSecond <= 80, hosts + " hosts: " + perSecond);
        }
    }

    @Test
    void hostsReportAtLeastOnceASecond() {
        assertEquals(Duration.ofSeconds(1), ReportPacing.interval(1_000));
        assertEquals(5, ReportPacing.intervalFactor(1_000));
    }
}
