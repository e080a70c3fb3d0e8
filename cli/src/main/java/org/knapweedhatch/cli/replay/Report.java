package org.knapweedhatch.cli.replay;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.knapweedhatch.cli.replay.check.Breach;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Promise;
import org.knapweedhatch.cli.replay.check.Tally;
import org.knapweedhatch.cli.replay.trace.Measure;
import org.knapweedhatch.timeline.EventFilter;
import org.knapweedhatch.timeline.MergedLine;

/** The findings of several fleets on one trace, side by side. */
final class Report {

    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int AROUND_SECONDS = 3;
    private static final int MOST_LINES_AROUND = 12;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<Finding> findings;

    private Report(List<Finding> findings) {
        this.findings = List.copyOf(findings);
    }

    static Report of(List<Finding> findings) {
        return new Report(findings);
    }

    /** Returns the report as a table, then what broke in the first fleet with the time line around it. */
    String text() {
        StringBuilder out = new StringBuilder();
        var header = findings.get(0).header();
        out.append(String.format(
                Locale.ROOT,
                "trace %s, deployment %s, seed %d, %.0f s%n%n",
                header.name(),
                header.deployment().name().toLowerCase(Locale.ROOT),
                header.seed(),
                header.endMicros() / MICROS_PER_SECOND));
        row(out, "", Finding::fleet);
        row(out, "requests", f -> whole(Totals.arrived(f.tally())));
        row(out, "answered", f -> whole(f.tally().value(Measure.ANSWERED, "")));
        row(out, "answered %", f -> percent(f.tally().value(Measure.ANSWERED_SHARE, "")));
        for (String reason : reasons()) {
            row(out, "refused, " + reason, f -> whole(Totals.refused(f.tally(), reason)));
        }
        row(out, "unknown", f -> whole(f.tally().value(Measure.UNKNOWN, "")));
        row(out, "refused within rate %", f -> percent(f.tally().value(Measure.REFUSED_WITHIN_RATE_SHARE, "")));
        row(out, "worst team answered %", f -> percent(f.tally().value(Measure.WORST_TEAM_SHARE, "")));
        row(out, "latency p50 ms", f -> millis(f.tally().value(Measure.LATENCY_P50_MS, "")));
        row(out, "latency p99 ms", f -> millis(f.tally().value(Measure.LATENCY_P99_MS, "")));
        row(out, "headroom %", f -> percent(f.tally().headroom()));
        row(out, "drain ms", f -> millis(f.tally().value(Measure.DRAIN_MS, "")));
        for (Promise promise : Promise.values()) {
            row(out, "broken: " + lower(promise), f -> whole(broken(f, promise)));
        }
        Finding first = findings.get(0);
        first.breaches().kept().forEach(breach -> explain(out, first, breach));
        return out.toString();
    }

    private void row(StringBuilder out, String label, Function<Finding, String> value) {
        out.append(String.format(Locale.ROOT, "%-32s", label));
        findings.forEach(f -> out.append(String.format(Locale.ROOT, "%14s", value.apply(f))));
        out.append(System.lineSeparator());
    }

    private Set<String> reasons() {
        Set<String> reasons = new TreeSet<>(Set.of(Outcome.LIMIT));
        findings.forEach(f -> f.tally()
                .teams()
                .values()
                .forEach(t -> reasons.addAll(t.refused().keySet())));
        return reasons;
    }

    private static void explain(StringBuilder out, Finding finding, Breach breach) {
        out.append(String.format(
                Locale.ROOT,
                "%nBROKEN %s (%s)%n  at %.6f s, %s: %s%n",
                lower(breach.promise()),
                breach.promise().sentence(),
                seconds(breach.nanos()),
                breach.subject(),
                breach.detail()));
        var at = EventQueue.START.plusNanos(breach.nanos());
        EventFilter around = EventFilter.builder()
                .from(at.minusSeconds(AROUND_SECONDS))
                .until(at.plusSeconds(AROUND_SECONDS))
                .build();
        List<MergedLine> lines = finding.recorder().merged(around);
        lines.stream()
                .filter(MergedLine.Happened.class::isInstance)
                .map(line -> ((MergedLine.Happened) line).event())
                .limit(MOST_LINES_AROUND)
                .forEach(event -> out.append(String.format(
                        Locale.ROOT,
                        "  | %s %-10s %-12s %s %s%n",
                        event.time().instant(),
                        event.host(),
                        event.kind(),
                        event.subject(),
                        event.detail())));
    }

    /** Returns the report as JSON. */
    ObjectNode json() {
        ObjectNode root = MAPPER.createObjectNode();
        var header = findings.get(0).header();
        root.put("trace", header.name());
        root.put("deployment", header.deployment().name().toLowerCase(Locale.ROOT));
        root.put("seed", header.seed());
        ArrayNode fleets = root.putArray("fleets");
        findings.forEach(f -> fleets.add(json(f)));
        return root;
    }

    private static ObjectNode json(Finding finding) {
        Tally tally = finding.tally();
        ObjectNode node = MAPPER.createObjectNode();
        node.put("fleet", finding.fleet());
        node.put("requests", Totals.arrived(tally));
        for (Measure measure : Measure.values()) {
            if (measure != Measure.REFUSED_SHARE) {
                node.put(lower(measure), tally.value(measure, ""));
            }
        }
        node.put("headroom", tally.headroom());
        ObjectNode broken = node.putObject("broken");
        finding.breaches().counts().forEach((promise, count) -> broken.put(lower(promise), count));
        ObjectNode teams = node.putObject("teams");
        tally.teams().forEach((name, count) -> {
            ObjectNode team = teams.putObject(name);
            team.put("arrived", count.arrived()).put("answered", count.answered());
            team.put("unknown", count.unknown()).put("refusedWithinRate", count.withinRate());
            ObjectNode refused = team.putObject("refused");
            count.refused().forEach(refused::put);
        });
        ArrayNode breaches = node.putArray("breaches");
        for (Breach breach : finding.breaches().kept()) {
            ObjectNode entry = breaches.addObject().put("promise", lower(breach.promise()));
            entry.put("atSeconds", seconds(breach.nanos())).put("subject", breach.subject());
            entry.put("detail", breach.detail());
        }
        return node;
    }

    /** Returns the time within the trace. */
    private static double seconds(long nanos) {
        return (nanos - Replay.WARM_UP_NANOS) / NANOS_PER_SECOND;
    }

    private static long broken(Finding finding, Promise promise) {
        return finding.breaches().counts().getOrDefault(promise, 0L);
    }

    private static String lower(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String whole(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.3f", share * 100);
    }

    private static String millis(double millis) {
        return String.format(Locale.ROOT, "%.1f", millis);
    }
}
