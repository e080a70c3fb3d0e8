package org.knapweedhatch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.platform.StoredObject;

/** Shares of a split, and its text form. */
class SplitTest {

    private static Split split(int hosts) {
        List<SplitHost> list = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            list.add(new SplitHost("host-" + i, "region-" + i % 27, "domain-" + i % 63, 1_700_000_000_000L + i, 0));
        }
        return Split.initial(list);
    }

    @Test
    void sharesOfALimitSumToOne() {
        Split split = split(9);
        double sum = split.hosts().keySet().stream()
                .mapToDouble(host -> split.share(LimitId.team("crews"), host))
                .sum();
        assertEquals(1, sum, 1e-12);
    }

    @Test
    void linkIsOwnedByHostsOfTheSendingRegion() {
        Split split = split(54);
        assertEquals(
                List.of("host-0", "host-27"),
                split.ownersOf(LimitId.link("region-0", "region-1")).stream()
                        .sorted()
                        .toList());
    }

    @Test
    void textIsReadBackAndFitsThePlatformAtAThousandHosts() {
        Split split = split(1000);
        assertEquals(split, Split.parse(split.text()));
        assertTrue(split.text().length() < StoredObject.MAX_BYTES);
    }

    @Test
    void malformedTextIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Split.parse("split x\n"));
        assertThrows(IllegalArgumentException.class, () -> Split.parse("split 1\na b c\n"));
        assertThrows(IllegalArgumentException.class, () -> Split.parse("split 1\npool * zz\n"));
    }
}
