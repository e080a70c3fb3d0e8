package org.knapweedhatch.cli.replay;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.Scenario;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The command {@code trace}: writes a generated trace of one kind. */
public final class TraceCommand {

    @Argument(metaVar = "KIND", usage = "kind of trace, such as ordinary-day", required = true)
    private String kind;

    @Option(name = "--deployment", usage = "agency or rafaga")
    private String deployment = "agency";

    @Option(name = "--seed", usage = "seed of the trace")
    private long seed = 1;

    @Option(name = "--seconds", usage = "length of the trace")
    private long seconds = 60;

    @Option(name = "--scale", usage = "factor on the load")
    private double scale = 1;

    /** Runs the command and returns its exit code. */
    public int run(String[] args, PrintStream out) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
            Scenario scenario = Scenario.valueOf(upper(kind));
            Deployment chosen = Deployment.valueOf(upper(deployment));
            if (seconds < 1 || seed < 0 || !(scale > 0)) {
                throw new IllegalArgumentException("seconds and scale must be above zero, seed not below");
            }
            scenario.trace(chosen, seed, seconds, scale).write(out);
            return ReplayCommand.OK;
        } catch (CmdLineException | IllegalArgumentException e) {
            out.println("trace: " + e.getMessage());
            out.println("kinds: "
                    + Arrays.stream(Scenario.values())
                            .map(s -> s.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                            .collect(Collectors.joining(", ")));
            return ReplayCommand.USAGE;
        }
    }

    private static String upper(String name) {
        return name.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
