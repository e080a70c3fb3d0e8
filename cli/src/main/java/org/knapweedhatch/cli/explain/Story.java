package org.knapweedhatch.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What happened to one request, and what its hosts believed when they decided.
 *
 * <pre>{@code
 * Story story = Story.of("4f461e6f10b96aae", lines);
 * story.text().forEach(System.out::println);
 * }</pre>
 */
final class Story {

    /** Kinds of lines about beliefs that concern every request; those about one target are shown where it is named. */
    private static final Set<String> BELIEFS = Set.of("process", "configuration", "dependency", "evacuation");

    private final List<LogLine> lines;
    private final List<LogLine> beliefs;

    private Story(List<LogLine> lines, List<LogLine> beliefs) {
        this.lines = List.copyOf(lines);
        this.beliefs = List.copyOf(beliefs);
    }

    /** Puts the lines of one request in order, and finds the beliefs that were in force at each of its hosts. */
    static Story of(String request, List<LogLine> all) {
        List<LogLine> ordered =
                all.stream().sorted(Comparator.comparing(LogLine::time)).toList();
        List<LogLine> own = ordered.stream()
                .filter(line -> line.field("request").equals(request))
                .toList();
        Set<LogLine> beliefs = new LinkedHashSet<>();
        Set<String> hosts = new LinkedHashSet<>();
        own.forEach(line -> hosts.add(line.host()));
        hosts.forEach(host -> beliefs.addAll(beliefsOf(host, own, ordered)));
        return new Story(
                own,
                beliefs.stream().sorted(Comparator.comparing(LogLine::time)).toList());
    }

    /** Returns the latest line of each belief that a host held when it first wrote of the request. */
    private static List<LogLine> beliefsOf(String host, List<LogLine> own, List<LogLine> ordered) {
        List<LogLine> here =
                own.stream().filter(line -> line.host().equals(host)).toList();
        Set<String> targets = new LinkedHashSet<>();
        here.forEach(line -> targets.add(line.field("target")));
        LogLine last = here.get(here.size() - 1);
        Map<String, LogLine> latest = new LinkedHashMap<>();
        for (LogLine line : ordered) {
            if (!line.host().equals(host) || line.time().isAfter(last.time())) {
                continue;
            }
            if (BELIEFS.contains(line.event())) {
                latest.put(line.event() + line.field("feed"), line);
            } else if (line.event().equals("target") && targets.contains(line.field("target"))) {
                latest.put(line.field("target"), line);
            } else if (line.event().equals("host") && line.field("state").equals("SILENT")) {
                latest.put(line.field("peer"), line);
            }
        }
        return new ArrayList<>(latest.values());
    }

    /** Returns whether no host wrote of the request. */
    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns the lines of the request, in order. */
    List<LogLine> lines() {
        return lines;
    }

    /** Returns the beliefs in force, in the order in which they arose. */
    List<LogLine> beliefs() {
        return beliefs;
    }

    /** Returns how the request ended, in a sentence. */
    String ending() {
        LogLine last = lines.get(lines.size() - 1);
        return switch (last.event()) {
            case "answered" ->
                "Answered with status " + last.field("status") + " of target " + last.field("target") + " after "
                        + last.field("afterMs") + " ms, " + last.field("targetMs") + " ms of them at the target.";
            case "refused" ->
                "Refused as " + last.field("reason") + " after " + last.field("afterMs") + " ms; it has not run."
                        + limit();
            case "failed" ->
                "Ended as " + last.field("reason") + " after " + last.field("afterMs") + " ms, having been sent "
                        + last.field("sent") + " times." + attempts();
            default -> "No line tells of its end: the host ended first, or left the line out.";
        };
    }

    private String limit() {
        return lines.stream()
                .filter(line -> line.event().equals("limit"))
                .findFirst()
                .map(line -> " Team " + line.field("team") + " had " + line.field("level")
                        + " requests left over all hosts at a rate of " + line.field("rate") + "/s; "
                        + line.field("heard")
                        + " of " + line.field("hosts") + " hosts were heard." + holder(line))
                .orElse("");
    }

    /** Names the host that decided, if it was another one. */
    private static String holder(LogLine line) {
        String name = line.field("holder");
        return name.isEmpty() ? "" : " Host " + name + " holds the limit and decided.";
    }

    private String attempts() {
        StringBuilder text = new StringBuilder();
        lines.stream()
                .filter(line -> line.event().equals("attempt"))
                .forEach(line -> text.append(" Target ")
                        .append(line.field("target"))
                        .append(": ")
                        .append(line.field("ending"))
                        .append(" after ")
                        .append(line.field("tookMs"))
                        .append(" ms (")
                        .append(line.field("why"))
                        .append(")."));
        return text.toString();
    }

    /** Returns the story for reading. */
    List<String> text() {
        List<String> text = new ArrayList<>();
        text.add("Beliefs in force:");
        beliefs.forEach(line -> text.add("  " + line.text()));
        text.add("The request:");
        lines.forEach(line -> text.add("  " + line.text()));
        text.add(ending());
        return text;
    }
}
