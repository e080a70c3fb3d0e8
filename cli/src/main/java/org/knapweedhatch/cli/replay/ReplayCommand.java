package org.knapweedhatch.cli.replay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.cli.replay.trace.Trace;
import org.knapweedhatch.cli.replay.trace.TraceReader;
import org.knapweedhatch.fault.Result;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The command {@code replay}: plays traces through the real decisions and a naive fleet, side by side. */
public final class ReplayCommand {

    /** Every promise held. */
    public static final int OK = 0;

    /** A promise was broken, or a stated outcome was missed. */
    public static final int BROKEN = 1;

    /** The arguments or a trace could not be understood. */
    public static final int USAGE = 2;

    @Argument(metaVar = "TRACE", usage = "trace files to replay", required = true, multiValued = true)
    private List<Path> files = new ArrayList<>();

    @Option(name = "--json", usage = "print the report as JSON, one line per trace")
    private boolean json;

    /** Runs the command and returns its exit code. */
    public int run(String[] args, PrintStream out) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            out.println("replay: " + e.getMessage());
            return USAGE;
        }
        int worst = OK;
        for (Path file : files) {
            worst = Math.max(worst, replay(file, out));
        }
        return worst;
    }

    private int replay(Path file, PrintStream out) {
        Result<Trace> trace = TraceReader.read(file);
        if (!trace.isOk()) {
            out.println("replay: " + trace.fault());
            return USAGE;
        }
        List<Finding> findings = Fleets.replayAll(trace.orThrow());
        Report report = Report.of(findings);
        out.println(json ? report.json() : report.text());
        return findings.get(0).isClean() ? OK : BROKEN;
    }
}
