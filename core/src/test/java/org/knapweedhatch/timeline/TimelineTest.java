package org.knapweedhatch.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Step;

class TimelineTest {

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final HybridClock clock = HybridClock.of(time);

    @Test
    void readerContinuesWhereItLeftOff() {
        Timeline timeline = filled("a", 10, 5);
        Page first = timeline.since(0, 3);
        Page rest = timeline.since(first.last(), 3);
        assertEquals(List.of(1L, 2L, 3L), sequences(first));
        assertEquals(List.of(4L, 5L), sequences(rest));
        assertEquals(0, rest.dropped());
    }

    @Property(tries = 200, seed = "1")
    void ringKeepsTheLatestAndCountsTheRest(
            @ForAll @IntRange(min = 1, max = 20) int capacity, @ForAll @IntRange(max = 60) int count) {
        Timeline timeline = filled("a", capacity, count);
        Page page = timeline.since(0, 100);
        assertEquals(Math.min(capacity, count), page.events().size());
        assertEquals(count - page.events().size(), page.dropped());
        assertEquals(timeline.dropped(), page.dropped());
        assertEquals(count, page.last());
    }

    @Test
    void clockOrdersAnswerAfterQuestionThoughWallClocksDiffer() {
        HybridClock behind = HybridClock.of(ManualTime.startingAt(time.now().minusSeconds(2)));
        HybridTime sent = clock.tick();
        assertTrue(behind.receive(sent).compareTo(sent) > 0);
        assertTrue(behind.tick().compareTo(sent) > 0);
    }

    @Test
    void clockIgnoresTimesTooFarAhead() {
        HybridClock wrong = HybridClock.of(ManualTime.startingAt(time.now().plus(Duration.ofHours(1))));
        clock.receive(wrong.tick());
        assertEquals(1, clock.rejected());
        assertEquals(time.now(), clock.tick().instant());
    }

    @Test
    void clockNeverRepeatsThoughTheWallClockStands() {
        HybridTime previous = clock.tick();
        for (int i = 0; i < 200_000; i++) {
            HybridTime next = clock.tick();
            assertTrue(next.compareTo(previous) > 0);
            previous = next;
        }
    }

    @Test
    void mergeOrdersHostsAndMarksDrops() {
        Timeline a = Timeline.of("a", clock, 2);
        Timeline b = Timeline.of("b", clock, 9);
        for (int i = 0; i < 3; i++) {
            time.advance(Duration.ofMillis(1));
            a.record(EventKind.LOAN, "team:x", "a" + i);
            b.record(EventKind.SHARE, "team:y", "b" + i);
        }
        List<MergedLine> lines = Merge.of(List.of(a.since(0, 9), b.since(0, 9)), EventFilter.all());
        assertEquals(
                "b0 -1 a1 b1 a2 b2",
                String.join(" ", lines.stream().map(TimelineTest::shown).toList()));
        EventFilter loans =
                EventFilter.builder().kind(EventKind.LOAN).subject("x").build();
        lines = Merge.of(List.of(a.since(0, 9), b.since(0, 9)), loans);
        assertEquals(
                "-1 a1 a2",
                String.join(" ", lines.stream().map(TimelineTest::shown).toList()));
    }

    @Test
    void filterTakesHostAndTime() {
        Timeline a = filled("a", 9, 1);
        Event event = a.since(0, 1).events().get(0);
        Instant when = event.time().instant();
        assertTrue(EventFilter.builder().host("a").from(when).build().test(event));
        assertFalse(EventFilter.builder().host("b").build().test(event));
        assertFalse(EventFilter.builder().until(when).build().test(event));
    }

    @Test
    void jsonGivesThePageBack() {
        Page page = filled("a", 3, 5).since(0, 2);
        assertEquals(page, TimelineJson.parse("a", TimelineJson.render(page)).orThrow());
    }

    @Property(tries = 500, seed = "2")
    void brokenJsonIsOneFaultAtThePeer(@ForAll @IntRange(max = 400) int cut, @ForAll char put) {
        String json = TimelineJson.render(filled("a", 3, 2).since(0, 9));
        int at = cut % json.length();
        var result = TimelineJson.parse("peer-1", json.substring(0, at) + put + json.substring(at + 1));
        if (!result.isOk()) {
            assertEquals(Step.RECEIVE, result.fault().step());
            assertEquals("peer-1", result.fault().peer());
        }
        assertFalse(TimelineJson.parse("peer-1", json.substring(0, at)).isOk());
    }

    private Timeline filled(String host, int capacity, int count) {
        Timeline timeline = Timeline.of(host, clock, capacity);
        for (int i = 0; i < count; i++) {
            timeline.record(EventKind.MEMBER, "host:b", "event " + i);
        }
        return timeline;
    }

    private static List<Long> sequences(Page page) {
        return page.events().stream().map(Event::sequence).toList();
    }

    private static String shown(MergedLine line) {
        return line instanceof MergedLine.Dropped dropped
                ? "-" + dropped.count()
                : ((MergedLine.Happened) line).event().detail();
    }
}
