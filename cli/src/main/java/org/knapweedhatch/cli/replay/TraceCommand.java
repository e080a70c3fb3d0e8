package org.knapweedhatch.cli.replay;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Locale;
import org.knapweedhatch.cli.Command;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.Session;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.Scenario;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Writes a generated trace of one kind. */
public final class TraceCommand implements Command {

    @Argument(metaVar = "KIND", usage = "kind of trace, such as ordinary-day; list shows all", required = true)
    private String kind;

    @Option(name = "--deployment", metaVar = "NAME", usage = "agency or rafaga")
    private String deployment = "agency";

    @Option(name = "--seed", metaVar = "N", usage = "seed of the trace")
    private long seed = 1;

    @Option(name = "--seconds", metaVar = "N", usage = "length of the trace")
    private long seconds = 60;

    @Option(name = "--scale", metaVar = "X", usage = "factor on the load")
    private double scale = 1;

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String summary() {
        return "Writes a generated trace of one kind to the standard output.";
    }

    @Override
    public ExitCode run(Session session) {
        if (kind.equals("list")) {
            List<String> kinds =
                    List.of(Scenario.values()).stream().map(TraceCommand::lower).toList();
            session.print(new JsonMapper().valueToTree(kinds), kinds);
            return ExitCode.OK;
        }
        if (seconds < 1 || seed < 0 || !(scale > 0)) {
            session.complain("--seconds and --scale must be above zero, --seed not below");
            return ExitCode.USAGE;
        }
        try {
            Scenario scenario = Scenario.valueOf(upper(kind));
            Deployment chosen = Deployment.valueOf(upper(deployment));
            StringBuilder text = new StringBuilder();
            scenario.trace(chosen, seed, seconds, scale).write(text);
            List<String> lines = text.toString().lines().toList();
            session.print(new JsonMapper().valueToTree(lines), lines);
            return ExitCode.OK;
        } catch (IllegalArgumentException e) {
            session.complain("no such kind or deployment: " + kind + ", " + deployment);
            return ExitCode.USAGE;
        }
    }

    private static String lower(Scenario scenario) {
        return scenario.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String upper(String name) {
        return name.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
