package org.knapweedhatch.cli;

import java.io.PrintStream;
import java.util.List;
import org.knapweedhatch.ini.Checked;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/** The tool {@code knapweedhatch}: finds the command, sets its options and runs it. */
public final class Cli {

    private static final int WIDTH = 110;

    private final PrintStream out;
    private final PrintStream err;

    private Cli(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the tool and exits with the code of its command. */
    public static void main(String[] args) {
        System.exit(run(List.of(args), System.out, System.err).number());
    }

    /** Runs the tool with some arguments. */
    public static ExitCode run(List<String> args, PrintStream out, PrintStream err) {
        return new Cli(out, err).run(args);
    }

    private ExitCode run(List<String> args) {
        Command command = Commands.named(args).orElse(null);
        if (command == null) {
            boolean asked =
                    args.equals(List.of("--help")) || args.equals(List.of("-h")) || args.equals(List.of("help"));
            overview(asked ? out : err);
            return asked ? ExitCode.OK : ExitCode.USAGE;
        }
        CommonOptions options = new CommonOptions();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(WIDTH));
        new ClassParser().parse(options, parser);
        try {
            parser.parseArgument(args.subList(command.name().split(" ").length, args.size()));
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            usage(command, parser, err);
            return ExitCode.USAGE;
        }
        if (options.help) {
            usage(command, parser, out);
            return ExitCode.OK;
        }
        return run(command, options);
    }

    private ExitCode run(Command command, CommonOptions options) {
        Checked<CliSettings> settings = CliSettings.read(options);
        if (settings instanceof Checked.Valid<CliSettings> valid) {
            try (Session session = new Session(valid.value(), options.json, out, err)) {
                return command.run(session);
            }
        }
        settings.faults().forEach(err::println);
        return ExitCode.USAGE;
    }

    private static void usage(Command command, CmdLineParser parser, PrintStream to) {
        to.println("usage: knapweedhatch " + command.name() + parser.printExample(OptionHandlerFilter.REQUIRED));
        to.println(command.summary());
        parser.printUsage(to);
    }

    private static void overview(PrintStream to) {
        to.println("usage: knapweedhatch COMMAND [options]");
        for (Command command : Commands.all()) {
            to.printf("  %-16s %s%n", command.name(), command.summary());
        }
        to.println("Each command shows its options with --help.");
        to.println("Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 conflict, 5 not known whether done.");
    }
}
