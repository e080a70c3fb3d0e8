package org.knapweedhatch.cli.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.timeline.EventFilter;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.HybridClock;
import org.knapweedhatch.timeline.Timeline;
import org.knapweedhatch.timeline.TimelineJson;
import org.knapweedhatch.world.Address;

class TimelineReaderTest {

    private static final Address A = Address.parse("127.0.0.1:8001");
    private static final Address B = Address.parse("127.0.0.2:8001");

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final Map<Address, Timeline> timelines = new HashMap<>();

    @Test
    void showsOnlyWhatIsNewInEachRound() {
        start(A, "a", 100);
        start(B, "b", 100);
        TimelineReader reader = TimelineReader.of(List.of(A, B), this::fetch);
        record(A, "one");
        record(B, "two");
        assertEquals(List.of("one", "two"), details(reader.next(EventFilter.all())));
        record(A, "three");
        assertEquals(List.of("three"), details(reader.next(EventFilter.all())));
        assertEquals(List.of(), details(reader.next(EventFilter.all())));
    }

    @Test
    void beginsAnewWhereAHostRestarted() {
        start(A, "a", 100);
        TimelineReader reader = TimelineReader.of(List.of(A), this::fetch);
        record(A, "before");
        reader.next(EventFilter.all());
        start(A, "a", 100);
        record(A, "after");
        assertEquals(List.of("after"), details(reader.next(EventFilter.all())));
    }

    @Test
    void marksDropsAndReadsManyPages() {
        start(A, "a", 2_500);
        for (int i = 0; i < 2_600; i++) {
            record(A, "e" + i);
        }
        TimelineReader.Round round = TimelineReader.of(List.of(A), this::fetch).next(EventFilter.all());
        assertEquals(2_501, round.lines().size());
        assertTrue(TimelineCommand.text(round.lines().get(0)).contains("100 events before this were dropped"));
        assertEquals(
                100, TimelineCommand.json(round.lines()).get(0).get("dropped").asInt());
    }

    @Test
    void hostThatDoesNotAnswerIsAFaultBesideTheOthers() {
        start(A, "a", 10);
        record(A, "one");
        TimelineReader.Round round =
                TimelineReader.of(List.of(A, B), this::fetch).next(EventFilter.all());
        assertEquals(List.of("one"), details(round));
        assertEquals(B.toString(), round.faults().get(0).peer());
    }

    private void start(Address host, String name, int capacity) {
        time.advance(Duration.ofMillis(1));
        timelines.put(host, Timeline.of(name, HybridClock.of(time), capacity));
    }

    private void record(Address host, String detail) {
        time.advance(Duration.ofMillis(1));
        timelines.get(host).record(EventKind.LOAN, "team:x", detail);
    }

    private Result<String> fetch(Address host, String path) {
        Timeline timeline = timelines.get(host);
        if (timeline == null) {
            return Result.failed(Step.CONNECT, host.toString(), "refused");
        }
        String[] parts = path.split("[=&]");
        return Result.ok(TimelineJson.render(timeline.since(Long.parseLong(parts[1]), Integer.parseInt(parts[3]))));
    }

    private static List<String> details(TimelineReader.Round round) {
        return round.lines().stream()
                .map(line -> TimelineCommand.text(line).replaceAll(".*team:x +", ""))
                .toList();
    }
}
