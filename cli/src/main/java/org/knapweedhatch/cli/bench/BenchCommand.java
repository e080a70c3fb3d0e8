package org.knapweedhatch.cli.bench;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.cli.Command;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.Session;
import org.knapweedhatch.cli.replay.Fleets;
import org.knapweedhatch.cli.replay.trace.Trace;
import org.knapweedhatch.cli.replay.trace.TraceReader;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.world.Address;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Measures a trace, or live hosts, beside a naive fleet and an earlier run. */
public final class BenchCommand implements Command {

    @Argument(metaVar = "TRACE", usage = "trace to measure; without one, the live hosts are measured")
    private Path trace;

    @Option(name = "--path", metaVar = "PATH", usage = "path that is asked of live hosts")
    private String path = "/";

    @Option(name = "--key", metaVar = "KEY", usage = "key that is shown to live hosts")
    private String key = "";

    @Option(name = "--rate", metaVar = "N", usage = "requests per second sent to live hosts")
    private double rate = 100;

    @Option(name = "--seconds", metaVar = "N", usage = "how long requests are sent to live hosts")
    private long seconds = 10;

    @Option(name = "--save", metaVar = "FILE", usage = "save this run")
    private Path save;

    @Option(name = "--compare", metaVar = "FILE", usage = "set a saved run beside this one")
    private Path compare;

    @Option(name = "--plot", metaVar = "FILE.png", usage = "draw the latencies")
    private Path plot;

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String summary() {
        return "Measures a trace or live hosts: latency, headroom, drain time, worst team, refusals within rate.";
    }

    @Override
    public ExitCode run(Session session) {
        if (!(rate > 0) || seconds < 1 || !path.startsWith("/")) {
            session.complain("--rate and --seconds must be above zero, --path begins with a slash");
            return ExitCode.USAGE;
        }
        Result<List<Measurements>> measured = trace == null ? live(session) : replayed();
        if (!measured.isOk()) {
            session.complain(measured.fault().toString());
            return trace == null ? ExitCode.UNREACHABLE : ExitCode.USAGE;
        }
        List<Measurements> runs = new ArrayList<>(measured.orThrow());
        try {
            if (compare != null) {
                Result<Measurements> earlier = Measurements.parse(compare.toString(), Files.readString(compare));
                if (!earlier.isOk()) {
                    session.complain(earlier.fault().toString());
                    return ExitCode.USAGE;
                }
                runs.add(earlier.orThrow().named("earlier"));
            }
            write(runs);
        } catch (IOException e) {
            session.complain("a file cannot be read or written: " + e.getMessage());
            return ExitCode.USAGE;
        }
        session.print(new JsonMapper().valueToTree(runs), Comparison.of(runs).table());
        return ExitCode.OK;
    }

    private void write(List<Measurements> runs) throws IOException {
        if (save != null) {
            Files.writeString(save, runs.get(0).json());
        }
        if (plot != null) {
            Comparison.of(runs).plot(plot);
        }
    }

    private Result<List<Measurements>> replayed() {
        Result<Trace> read = TraceReader.read(trace);
        return read.then(t ->
                Result.ok(Fleets.replayAll(t).stream().map(Measurements::of).toList()));
    }

    private Result<List<Measurements>> live(Session session) {
        Result<List<Address>> hosts = session.hosts();
        return hosts.then(
                all -> Result.ok(List.of(new LiveLoad(all, path, key).run(rate, Duration.ofSeconds(seconds)))));
    }
}
