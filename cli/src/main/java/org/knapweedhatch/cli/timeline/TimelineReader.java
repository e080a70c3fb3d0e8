package org.knapweedhatch.cli.timeline;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.timeline.EventFilter;
import org.knapweedhatch.timeline.HybridTime;
import org.knapweedhatch.timeline.Merge;
import org.knapweedhatch.timeline.MergedLine;
import org.knapweedhatch.timeline.Page;
import org.knapweedhatch.timeline.TimelineJson;
import org.knapweedhatch.world.Address;

/**
 * Reads the time lines of several hosts on from where it left off.
 *
 * <pre>{@code
 * TimelineReader reader = TimelineReader.of(addresses, (host, path) -> caller.text(host, path));
 * TimelineReader.Round round = reader.next(EventFilter.all());
 * }</pre>
 */
public final class TimelineReader {

    private static final int PAGE_EVENTS = 1_000;
    private static final int MOST_PAGES = 100;

    /** Fetches the document at a path of a host. */
    @FunctionalInterface
    public interface Source {
        Result<String> fetch(Address host, String path);
    }

    /**
     * What one round of reading brought.
     *
     * @param lines events and marks of dropped ones, in one order
     * @param faults hosts that could not be read
     */
    public record Round(List<MergedLine> lines, List<Fault> faults) {}

    private record Place(HybridTime started, long after) {
        static final Place BEGINNING = new Place(HybridTime.ZERO, 0);
    }

    private final Source source;
    private final Map<Address, Place> places = new LinkedHashMap<>();

    private TimelineReader(List<Address> hosts, Source source) {
        this.source = source;
        hosts.forEach(host -> places.put(host, Place.BEGINNING));
    }

    /** Creates a reader that begins with the oldest events that the hosts still hold. */
    public static TimelineReader of(List<Address> hosts, Source source) {
        return new TimelineReader(hosts, source);
    }

    /** Reads everything that is new. */
    public Round next(EventFilter filter) {
        List<Page> pages = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        for (Address host : places.keySet()) {
            read(host, pages, faults);
        }
        return new Round(Merge.of(pages, filter), faults);
    }

    private void read(Address host, List<Page> pages, List<Fault> faults) {
        for (int i = 0; i < MOST_PAGES; i++) {
            Place place = places.get(host);
            String path = "/-/timeline?after=" + place.after() + "&max=" + PAGE_EVENTS;
            Result<Page> fetched = source.fetch(host, path).then(json -> TimelineJson.parse(host.toString(), json));
            if (!fetched.isOk()) {
                faults.add(fetched.fault());
                return;
            }
            Page page = fetched.orThrow();
            boolean otherProcess = !page.started().equals(place.started()) && place.after() > 0;
            places.put(host, new Place(page.started(), otherProcess ? 0 : page.last()));
            if (otherProcess) {
                continue;
            }
            pages.add(page);
            if (page.events().size() < PAGE_EVENTS) {
                return;
            }
        }
    }
}
