package org.knapweedhatch.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.knapweedhatch.cli.bench.BenchCommand;
import org.knapweedhatch.cli.explain.ExplainCommand;
import org.knapweedhatch.cli.replay.ReplayCommand;
import org.knapweedhatch.cli.replay.TraceCommand;
import org.knapweedhatch.cli.timeline.TimelineCommand;

/** All commands of the tool. */
final class Commands {

    private static final List<Supplier<Command>> ALL = List.of(
            ReleaseCheckCommand::new,
            ReleaseDiffCommand::new,
            ReleaseAcceptCommand::new,
            ReleaseStatusCommand::new,
            KeyGiveCommand::new,
            KeyWithdrawCommand::new,
            HostsCommand::new,
            LookupCommand::new,
            RouteCommand::new,
            TimelineCommand::new,
            ReplayCommand::new,
            TraceCommand::new,
            ExplainCommand::new,
            BenchCommand::new);

    private Commands() {}

    /** Returns a new instance of each command. */
    static List<Command> all() {
        List<Command> commands = new ArrayList<>();
        ALL.forEach(supplier -> commands.add(supplier.get()));
        return commands;
    }

    /** Returns a new instance of the command whose name the arguments begin with. */
    static Optional<Command> named(List<String> args) {
        return all().stream()
                .filter(c -> beginsWith(args, List.of(c.name().split(" "))))
                .findFirst();
    }

    private static boolean beginsWith(List<String> args, List<String> words) {
        return args.size() >= words.size() && args.subList(0, words.size()).equals(words);
    }
}
