package org.knapweedhatch.cli.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StoryTest {

    private static LogLine line(int second, String host, String event, String fields) {
        return LogLine.parse("{\"time\":\"2026-01-01T00:00:0" + second + "Z\",\"host\":\"" + host + "\",\"event\":\""
                        + event + "\"" + (fields.isEmpty() ? "" : "," + fields.replace('\'', '"')) + "}")
                .orElseThrow();
    }

    private static List<String> events(List<LogLine> lines) {
        return lines.stream().map(line -> line.host() + " " + line.event()).toList();
    }

    @Test
    void linesOfARequestAreInOrderOverAllHosts() {
        Story story = Story.of(
                "r1",
                List.of(
                        line(3, "h2", "refused", "'request':'r1','reason':'BUSY','afterMs':1.5"),
                        line(1, "h1", "sent", "'request':'r1','target':'t1'"),
                        line(2, "h1", "answered", "'request':'r2'")));
        assertEquals(List.of("h1 sent", "h2 refused"), events(story.lines()));
        assertEquals("Refused as BUSY after 1.5 ms; it has not run.", story.ending());
    }

    @Test
    void beliefsAreTheLatestOfTheHostBeforeItsLastLine() {
        Story story = Story.of(
                "r1",
                List.of(
                        line(0, "h1", "configuration", "'number':3"),
                        line(1, "h1", "configuration", "'number':4"),
                        line(1, "h1", "target", "'target':'t1','outcome':'STARTED'"),
                        line(1, "h1", "target", "'target':'t2','outcome':'STARTED'"),
                        line(1, "h2", "configuration", "'number':9"),
                        line(2, "h1", "dependency", "'feed':'TARGETS','outcome':'lost'"),
                        line(3, "h1", "failed", "'request':'r1','target':'t1','reason':'LATE'"),
                        line(4, "h1", "configuration", "'number':5")));
        assertEquals(List.of("h1 configuration", "h1 target", "h1 dependency"), events(story.beliefs()));
        assertEquals("4", story.beliefs().get(0).field("number"));
        assertEquals("t1", story.beliefs().get(1).field("target"));
    }

    @Test
    void refusalInsideARateNamesWhatTheHostKnew() {
        Story story = Story.of(
                "r1",
                List.of(
                        line(
                                1,
                                "h1",
                                "limit",
                                "'request':'r1','team':'crew','rate':8.0,'level':0.4,'hosts':9,'heard':7"),
                        line(1, "h1", "refused", "'request':'r1','reason':'LIMITED','afterMs':0.2")));
        assertTrue(
                story.ending()
                        .endsWith("Team crew had 0.4 requests left over all hosts at a rate of 8.0/s; 7 of 9 hosts were"
                                + " heard."),
                story.ending());
    }

    @Test
    void refusalNamesTheHostThatHoldsTheLimit() {
        Story story = Story.of(
                "r1",
                List.of(
                        line(1, "h1", "limit", "'request':'r1','team':'crew','holder':'h7','rate':8.0,'level':0.4"),
                        line(1, "h1", "refused", "'request':'r1','reason':'LIMITED','afterMs':3.2")));
        assertTrue(story.ending().endsWith("Host h7 holds the limit and decided."), story.ending());
    }

    @Test
    void failureNamesEachAttempt() {
        Story story = Story.of(
                "r1",
                List.of(
                        line(
                                1,
                                "h1",
                                "attempt",
                                "'request':'r1','target':'t1','ending':'BROKEN','tookMs':5.0,'why':'reset'"),
                        line(2, "h1", "failed", "'request':'r1','reason':'LOST','afterMs':9.0,'sent':1")));
        assertEquals(
                "Ended as LOST after 9.0 ms, having been sent 1 times. Target t1: BROKEN after 5.0 ms (reset).",
                story.ending());
    }

    @Test
    void requestWithoutAnEndIsSaidSo() {
        Story story = Story.of("r1", List.of(line(1, "h1", "sent", "'request':'r1','target':'t1'")));
        assertTrue(story.ending().startsWith("No line tells of its end"));
        assertTrue(Story.of("r9", List.of()).isEmpty());
    }

    @Test
    void otherOutputIsNoLine() {
        assertEquals(Optional.empty(), LogLine.parse("OpenJDK warning"));
        assertEquals(Optional.empty(), LogLine.parse("{\"time\":\"soon\",\"host\":\"h\",\"event\":\"e\"}"));
        assertEquals(Optional.empty(), LogLine.parse("{\"time\":\"2026-01-01T00:00:00Z\",\"host\":\"\"}"));
        assertEquals(Optional.empty(), LogLine.parse("{"));
        assertEquals(
                "h1",
                LogLine.parse("12.5 s h1 {\"time\":\"2026-01-01T00:00:00Z\",\"host\":\"h1\",\"event\":\"sent\"}")
                        .orElseThrow()
                        .host());
    }
}
