package org.knapweedhatch.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Brings the events of several hosts into one order, with a mark where a host dropped some.
 *
 * <pre>{@code
 * List<MergedLine> lines = Merge.of(List.of(pageOfOneHost, pageOfAnother), EventFilter.all());
 * }</pre>
 */
public final class Merge {

    private static final Comparator<MergedLine> ORDER =
            Comparator.comparing(MergedLine::time).thenComparing(MergedLine::host);

    private Merge() {}

    /**
     * Returns the events that a filter lets through, by time, host and sequence number. Marks of dropped events are
     * kept whatever the filter says, since nobody knows what they hid.
     */
    public static List<MergedLine> of(Collection<Page> pages, EventFilter filter) {
        List<MergedLine> lines = new ArrayList<>();
        pages.forEach(page -> addLines(page, filter, lines));
        lines.sort(ORDER);
        return lines;
    }

    private static void addLines(Page page, EventFilter filter, List<MergedLine> lines) {
        long previous = page.after();
        HybridTime latest = page.started();
        for (Event event : page.events()) {
            addMark(page.host(), event.time(), event.sequence() - previous - 1, lines);
            if (filter.test(event)) {
                lines.add(new MergedLine.Happened(event));
            }
            previous = event.sequence();
            latest = event.time();
        }
        addMark(page.host(), latest, page.last() - previous, lines);
    }

    private static void addMark(String host, HybridTime time, long count, List<MergedLine> lines) {
        if (count > 0) {
            lines.add(new MergedLine.Dropped(host, time, count));
        }
    }
}
