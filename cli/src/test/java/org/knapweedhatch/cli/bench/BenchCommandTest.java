package org.knapweedhatch.cli.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedhatch.cli.Cli;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.Scenario;

class BenchCommandTest {

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private ExitCode run(List<String> args) {
        out.reset();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return Cli.run(args, stream, stream);
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void setsRealNaiveAndEarlierRunsSideBySide() throws IOException {
        StringBuilder text = new StringBuilder();
        Scenario.ORDINARY_DAY.trace(Deployment.RAFAGA, 1, 3, 0.1).write(text);
        Path trace = Files.writeString(folder.resolve("t.jsonl"), text);
        Path saved = folder.resolve("saved.json");
        Path plot = folder.resolve("plot.png");
        assertEquals(ExitCode.OK, run(List.of("bench", trace.toString(), "--save", saved.toString())));
        List<String> again =
                List.of("bench", trace.toString(), "--compare", saved.toString(), "--plot", plot.toString());
        assertEquals(ExitCode.OK, run(again));
        String heading = out().lines().findFirst().orElse("");
        assertEquals("real naive earlier", heading.trim().replaceAll(" +", " "));
        assertEquals(900, ImageIO.read(plot.toFile()).getWidth());
    }

    @Test
    void sendsEveryDueRequestToLiveHosts() {
        AtomicInteger received = new AtomicInteger();
        Undertow host = Undertow.builder()
                .addHttpListener(0, "127.0.0.1", exchange -> {
                    received.incrementAndGet();
                    exchange.getResponseSender().send("ok");
                })
                .build();
        host.start();
        try {
            int port = ((InetSocketAddress) host.getListenerInfo().get(0).getAddress()).getPort();
            List<String> args =
                    List.of("bench", "--host", "127.0.0.1:" + port, "--path", "/x", "--rate", "200", "--seconds", "1");
            assertEquals(ExitCode.OK, run(args));
            assertEquals(200, received.get());
            assertTrue(out().lines().anyMatch(line -> line.matches("answered +200")), out());
        } finally {
            host.stop();
        }
    }

    @Test
    void wrongArgumentsAndFilesAreOneSentence() throws IOException {
        assertEquals(ExitCode.USAGE, run(List.of("bench", "--rate", "0")));
        Path bad = Files.writeString(folder.resolve("bad.jsonl"), "{}\n");
        assertEquals(ExitCode.USAGE, run(List.of("bench", bad.toString())));
        assertEquals(1, out().lines().count());
        assertEquals(ExitCode.USAGE, run(List.of("replay", bad.toString())));
        assertTrue(out().contains("bad.jsonl:1: type: is missing"), out());
        assertEquals(ExitCode.USAGE, run(List.of("trace", "nothing")));
        assertEquals(ExitCode.OK, run(List.of("trace", "list")));
    }
}
