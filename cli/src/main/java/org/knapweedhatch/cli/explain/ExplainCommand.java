package org.knapweedhatch.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.cli.Command;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.Session;
import org.kohsuke.args4j.Argument;

/**
 * Tells what happened to one request, from the logs of the hosts.
 *
 * <pre>{@code
 * knapweedhatch explain 4f461e6f10b96aae host-1.log host-2.log
 * }</pre>
 */
public final class ExplainCommand implements Command {

    /** Name that stands for standard input. */
    private static final String STANDARD_INPUT = "-";

    @Argument(index = 0, metaVar = "ID", required = true, usage = "id of the request, as its caller set it")
    private String request;

    @Argument(index = 1, metaVar = "LOG", usage = "log files of the hosts; - or none for standard input")
    private List<String> files = new ArrayList<>();

    private final List<LogLine> lines = new ArrayList<>();
    private long passedOver;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Tells what happened to one request, from the logs of the hosts.";
    }

    @Override
    public ExitCode run(Session session) {
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try {
                read(file);
            } catch (IOException | InvalidPathException e) {
                session.complain(file + ": cannot be read: " + e.getClass().getSimpleName());
                return ExitCode.USAGE;
            }
        }
        if (passedOver > 0) {
            session.complain(passedOver + " lines are no log lines of a host and were passed over");
        }
        Story story = Story.of(request, lines);
        if (story.isEmpty()) {
            session.complain("no line of " + lines.size() + " is about request " + request
                    + ": no host read it, or its lines were left out");
            return ExitCode.FAILED;
        }
        session.print(
                Map.of(
                        "beliefs", story.beliefs().stream().map(LogLine::fields).toList(),
                        "lines", story.lines().stream().map(LogLine::fields).toList(),
                        "ending", story.ending()),
                story.text());
        return ExitCode.OK;
    }

    private void read(String file) throws IOException {
        try (InputStream in = file.equals(STANDARD_INPUT) ? System.in : Files.newInputStream(Path.of(file));
                BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                LogLine.parse(line).ifPresentOrElse(lines::add, () -> passedOver++);
            }
        }
    }
}
