package org.knapweedhatch.cli.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.cli.replay.trace.TraceReader;

/** One trace of each kind under examples/traces, the deployments in turn; the command replays the others. */
class ExampleTracesTest {

    private static final Path TRACES = Path.of("..", "examples", "traces");
    private static final Path KNOWN_RED = Path.of("..", "KNOWN-RED.txt");

    @Test
    void everyTraceHoldsOrIsKnownRed() throws IOException {
        String red = Files.exists(KNOWN_RED) ? Files.readString(KNOWN_RED) : "";
        List<Path> files = files();
        assertTrue(files.size() >= 30, "traces are missing: " + files.size());
        List<Path> chosen = IntStream.range(0, files.size() / 2)
                .mapToObj(i -> files.get(i % 2 == 0 ? i : i + files.size() / 2))
                .toList();
        var broken = new ConcurrentSkipListMap<String, String>();
        chosen.parallelStream().forEach(file -> {
            Finding finding = Replay.of(TraceReader.read(file).orThrow()).run(RealFleet::new);
            if (!finding.isClean()) {
                broken.put(
                        String.valueOf(file.getFileName()),
                        Report.of(List.of(finding)).text());
            }
        });
        var unexpected = new TreeMap<>(broken);
        unexpected.keySet().removeIf(red::contains);
        broken.keySet().stream().filter(red::contains).forEach(name -> System.out.println("known red: " + name));
        assertEquals(new TreeMap<>(), unexpected);
    }

    private static List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(TRACES)) {
            return all.filter(file -> file.toString().endsWith(".jsonl"))
                    .sorted()
                    .toList();
        }
    }
}
