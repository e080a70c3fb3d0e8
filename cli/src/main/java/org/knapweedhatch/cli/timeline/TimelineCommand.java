package org.knapweedhatch.cli.timeline;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knapweedhatch.cli.Command;
import org.knapweedhatch.cli.ExitCode;
import org.knapweedhatch.cli.Session;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.timeline.Event;
import org.knapweedhatch.timeline.EventFilter;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.MergedLine;
import org.knapweedhatch.timeline.TimelineJson;
import org.knapweedhatch.world.Address;
import org.kohsuke.args4j.Option;

/** Shows the events of all hosts in one order, with marks where hosts dropped some. */
public final class TimelineCommand implements Command {

    private static final Duration PAUSE = Duration.ofSeconds(1);
    private static final JsonMapper MAPPER = new JsonMapper();

    @Option(name = "--kind", metaVar = "KIND", usage = "show events of this kind only; may be given several times")
    private List<String> kinds = new ArrayList<>();

    @Option(name = "--at", metaVar = "HOST", usage = "show events of the host with this name only")
    private List<String> names = new ArrayList<>();

    @Option(name = "--subject", metaVar = "SUBJECT", usage = "show events about it only, such as team:crews or crews")
    private List<String> subjects = new ArrayList<>();

    @Option(name = "--from", metaVar = "TIME", usage = "show events from this time on, such as 2026-01-01T00:00:00Z")
    private String from;

    @Option(name = "--until", metaVar = "TIME", usage = "show events before this time")
    private String until;

    @Option(name = "--follow", usage = "go on showing new events until interrupted")
    private boolean follow;

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String summary() {
        return "Shows the events of all hosts in one order, and where hosts dropped some.";
    }

    @Override
    public ExitCode run(Session session) {
        EventFilter filter;
        try {
            filter = filter();
        } catch (IllegalArgumentException | DateTimeParseException e) {
            session.complain("not a kind or a time: " + e.getMessage());
            return ExitCode.USAGE;
        }
        Result<List<Address>> hosts = session.hosts();
        if (!hosts.isOk()) {
            return session.unreachable(hosts.fault());
        }
        TimelineReader reader = TimelineReader.of(
                hosts.orThrow(), (host, path) -> session.ask(host, path).then(json -> Result.ok(json.toString())));
        TimelineReader.Round round = show(session, reader, filter);
        while (follow && !Thread.currentThread().isInterrupted()) {
            Waiter.blocking().pause(PAUSE);
            show(session, reader, filter);
        }
        boolean none = round.faults().size() == hosts.orThrow().size();
        return none ? ExitCode.UNREACHABLE : ExitCode.OK;
    }

    private EventFilter filter() {
        EventFilter.Builder builder = EventFilter.builder();
        kinds.forEach(kind ->
                builder.kind(EventKind.valueOf(kind.toUpperCase(Locale.ROOT).replace('-', '_'))));
        names.forEach(builder::host);
        subjects.forEach(builder::subject);
        if (from != null) {
            builder.from(Instant.parse(from));
        }
        if (until != null) {
            builder.until(Instant.parse(until));
        }
        return builder.build();
    }

    private TimelineReader.Round show(Session session, TimelineReader reader, EventFilter filter) {
        TimelineReader.Round round = reader.next(filter);
        round.faults().forEach(fault -> session.complain(fault.toString()));
        if (!follow || !round.lines().isEmpty()) {
            session.print(
                    json(round.lines()),
                    round.lines().stream().map(TimelineCommand::text).toList());
        }
        return round;
    }

    static String text(MergedLine line) {
        if (line instanceof MergedLine.Happened happened) {
            Event event = happened.event();
            return String.format(
                    Locale.ROOT,
                    "%-24s %-14s %-14s %-24s %s",
                    event.time().instant(),
                    event.host(),
                    event.kind(),
                    event.subject(),
                    event.detail());
        }
        MergedLine.Dropped dropped = (MergedLine.Dropped) line;
        return String.format(
                Locale.ROOT,
                "%-24s %-14s --- %d events before this were dropped ---",
                dropped.time().instant(),
                dropped.host(),
                dropped.count());
    }

    static ArrayNode json(List<MergedLine> lines) {
        ArrayNode all = MAPPER.createArrayNode();
        for (MergedLine line : lines) {
            if (line instanceof MergedLine.Happened happened) {
                all.add(TimelineJson.toNode(happened.event()));
            } else if (line instanceof MergedLine.Dropped dropped) {
                ObjectNode node = all.addObject().put("host", dropped.host()).put("dropped", dropped.count());
                node.put("at", dropped.time().instant().toString());
            }
        }
        return all;
    }
}
