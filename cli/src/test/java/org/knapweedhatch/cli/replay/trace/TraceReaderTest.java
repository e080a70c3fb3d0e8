package org.knapweedhatch.cli.replay.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

class TraceReaderTest {

    private static final String HEADER =
            "{\"type\":\"trace\",\"name\":\"t\",\"deployment\":\"agency\",\"seed\":1,\"endMicros\":1000}\n";
    private static final String ARRIVAL = "{\"type\":\"arrival\",\"atMicros\":5,\"key\":\"key-team-1\","
            + "\"service\":\"orders\",\"region\":\"lima\",\"idempotent\":true,\"workMicros\":30}\n";

    private static final String TEXT = written(Scenario.REGION_DRAIN.trace(Deployment.RAFAGA, 1, 2, 0.01));

    @Test
    void everyGeneratedTraceReadsBackAsWritten() throws IOException {
        for (Scenario scenario : Scenario.values()) {
            for (Deployment deployment : Deployment.values()) {
                String text = written(scenario.trace(deployment, 3, 10, 1));
                assertEquals(text, written(read(text).orThrow()));
            }
        }
    }

    @Test
    void wrongLineNamesFileLineAndField() throws IOException {
        assertFault("t.jsonl:1", "type", ARRIVAL);
        assertFault("t.jsonl:2", "service", HEADER + ARRIVAL.replace("orders", "nothing"));
        assertFault("t.jsonl:2", "atMicros", HEADER + ARRIVAL.replace(":5,", ":5000,"));
        assertFault("t.jsonl:3", "atMicros", HEADER + ARRIVAL + ARRIVAL.replace(":5,", ":4,"));
        assertFault("t.jsonl:2", "colour", HEADER + ARRIVAL.replace("{", "{\"colour\":1,"));
        assertFault("t.jsonl:2", "idempotent", HEADER + ARRIVAL.replace("true", "1"));
        assertFault("t.jsonl:2", "workMicros", HEADER + ARRIVAL.replace(",\"workMicros\":30", ""));
        assertFault("t.jsonl:2", "JSON", HEADER + "{\n");
        assertFault("t.jsonl:2", "Duplicate", HEADER + ARRIVAL.replace("{", "{\"key\":\"a\","));
        assertFault("t.jsonl:1", "empty", "");
    }

    @Property(tries = 3000, seed = "11")
    void changedTextIsReadOrIsOneFault(
            @ForAll @IntRange(max = 100_000) int at, @ForAll @IntRange(max = 40) int length, @ForAll String put)
            throws IOException {
        int from = at % TEXT.length();
        int to = Math.min(TEXT.length(), from + length);
        Result<Trace> result = read(TEXT.substring(0, from) + put + TEXT.substring(to));
        if (!result.isOk()) {
            assertEquals(Step.TRACE, result.fault().step());
            assertTrue(
                    result.fault().peer().matches("t\\.jsonl:\\d+"),
                    result.fault().toString());
            assertFalse(result.fault().message().contains("\n"));
        }
    }

    private static void assertFault(String place, String word, String text) throws IOException {
        Result<Trace> result = read(text);
        assertFalse(result.isOk(), text);
        assertEquals(place, result.fault().peer());
        assertTrue(result.fault().message().contains(word), result.fault().toString());
    }

    private static Result<Trace> read(String text) throws IOException {
        return TraceReader.read("t.jsonl", new BufferedReader(new StringReader(text)));
    }

    private static String written(Trace trace) {
        StringBuilder out = new StringBuilder();
        trace.write(out);
        return out.toString();
    }
}
