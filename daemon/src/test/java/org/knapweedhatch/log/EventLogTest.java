package org.knapweedhatch.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedhatch.clock.ManualTime;

class EventLogTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private List<JsonNode> lines() throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
            lines.add(new JsonMapper().readTree(line));
        }
        return lines;
    }

    @Test
    void lineHoldsTimeHostKindAndFields() throws IOException {
        EventLog log = EventLog.start(out, "h1", time);
        log.line(LineKind.REFUSED)
                .put("request", "a\"b\n")
                .put("reason", (String) null)
                .put("sent", 2)
                .putNanos("afterMs", 1_234_567)
                .write();
        log.close();
        assertEquals(
                "{\"time\":\"1970-01-01T00:00:00Z\",\"host\":\"h1\",\"event\":\"refused\","
                        + "\"request\":\"a\\\"b\\n\",\"sent\":2,"
                        + "\"afterMs\":1.235}",
                lines().get(0).toString());
    }

    @Test
    void linesAboveTheRateOfTheirKindAreLeftOutAndCounted() throws IOException {
        EventLog log = EventLog.start(out, "h1", time);
        for (int i = 0; i < LineKind.EVACUATION.linesPerSecond() + 7; i++) {
            log.line(LineKind.EVACUATION).put("domains", "d" + i).write();
        }
        log.line(LineKind.PROCESS).put("outcome", "leaving").write();
        time.advance(Duration.ofSeconds(1));
        log.line(LineKind.EVACUATION).put("domains", "later").write();
        log.close();
        assertEquals(7, log.dropped());
        long dropped = lines().stream()
                .filter(line -> line.path("event").asText().equals("dropped"))
                .mapToLong(line -> line.path("lines").asLong())
                .sum();
        assertEquals(7, dropped);
        assertTrue(
                lines().stream().anyMatch(line -> line.path("domains").asText().equals("later")));
        assertTrue(lines().stream().anyMatch(line -> line.path("event").asText().equals("process")));
    }

    @Test
    @Timeout(20)
    void outputThatIsNotReadNeverBlocksTheCaller() {
        CountDownLatch release = new CountDownLatch(1);
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        EventLog log = EventLog.start(stuck, "h1", time);
        int lines = 0;
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < LineKind.SENT.linesPerSecond(); i++) {
                log.line(LineKind.SENT).put("request", "r" + lines++).write();
            }
            time.advance(Duration.ofSeconds(1));
        }
        assertEquals(lines, log.written() + log.dropped());
        assertTrue(log.dropped() > 0);
        release.countDown();
        log.close();
    }
}
