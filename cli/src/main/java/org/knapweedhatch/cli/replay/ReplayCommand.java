package org.knapweedhatch.cli.replay;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.cli.Command;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.Session;
import org.knapweedhatch.cli.replay.trace.Trace;
import org.knapweedhatch.cli.replay.trace.TraceReader;
import org.knapweedhatch.fault.Result;
import org.kohsuke.args4j.Argument;

/** Replays traces through the decisions of a fleet and through a naive fleet, side by side. */
public final class ReplayCommand implements Command {

    @Argument(metaVar = "TRACE", usage = "trace files to replay", required = true)
    private List<Path> files = new ArrayList<>();

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "Replays traces, checks every promise, and sets a naive fleet beside; fails where a promise broke.";
    }

    @Override
    public ExitCode run(Session session) {
        ArrayNode reports = new JsonMapper().createArrayNode();
        List<String> lines = new ArrayList<>();
        boolean clean = true;
        for (Path file : files) {
            Result<Trace> trace = TraceReader.read(file);
            if (!trace.isOk()) {
                session.complain(trace.fault().toString());
                return ExitCode.USAGE;
            }
            List<Finding> findings = Fleets.replayAll(trace.orThrow());
            Report report = Report.of(findings);
            reports.add(report.json());
            report.text().lines().forEach(lines::add);
            clean &= findings.get(0).isClean();
        }
        session.print(reports, lines);
        return clean ? ExitCode.OK : ExitCode.FAILED;
    }
}
