package org.knapweedhatch.cli.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.timeline.EventFilter;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.timeline.HybridClock;
import org.knapweedhatch.timeline.Merge;
import org.knapweedhatch.timeline.MergedLine;
import org.knapweedhatch.timeline.Page;
import org.knapweedhatch.timeline.Timeline;

/** The time lines of all hosts of a replay. */
final class Recorder {

    private static final int EVENTS_PER_HOST = 4096;

    private final TimeSource time;
    private final Map<String, Timeline> timelines = new TreeMap<>();
    private final Map<String, HybridClock> clocks = new HashMap<>();

    Recorder(TimeSource time) {
        this.time = time;
    }

    EventSink sink(String host) {
        HybridClock clock = clocks.computeIfAbsent(host, name -> HybridClock.of(time));
        return timelines.computeIfAbsent(host, name -> Timeline.of(name, clock, EVENTS_PER_HOST));
    }

    /** Returns the events that a filter lets through, in one order. */
    List<MergedLine> merged(EventFilter filter) {
        List<Page> pages = timelines.values().stream()
                .map(timeline -> timeline.since(0, EVENTS_PER_HOST))
                .toList();
        return Merge.of(pages, filter);
    }
}
