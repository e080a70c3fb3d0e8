package org.knapweedhatch.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Prints what became of the calls, by team and by region, and the verdict on each promise. */
final class Table {

    private static final String ROW = "%-24s %8s %9s %8s %8s %8s %9s %8s %8s%n";

    private Table() {}

    static void print(PrintStream out, List<Call> calls, List<Verdict.Finding> findings) {
        print(out, "team", calls, Call::team);
        print(out, "region", calls, Call::region);
        reasons(out, calls);
        out.println();
        for (Verdict.Finding finding : findings) {
            String verdict = finding.broken() == 0 ? "held" : "BROKEN " + finding.broken() + " times";
            out.printf("%-48s %s%n", finding.promise(), verdict);
        }
    }

    private static void print(PrintStream out, String title, List<Call> calls, Function<Call, String> by) {
        out.println();
        out.printf(ROW, title, "sent", "answered", "not-run", "unknown", "broken", "unreached", "p50 ms", "p99 ms");
        Map<String, List<Call>> groups =
                calls.stream().collect(Collectors.groupingBy(by, TreeMap::new, Collectors.toList()));
        groups.forEach((name, group) -> row(out, name, group));
        row(out, "all", calls);
    }

    private static void row(PrintStream out, String name, List<Call> calls) {
        Histogram latency = new Histogram(3);
        calls.stream()
                .filter(call -> call.ending() == Call.Ending.ANSWERED)
                .forEach(call -> latency.recordValue(Math.max(0, call.latency().toNanos() / 1_000)));
        out.printf(
                ROW,
                name,
                calls.size(),
                count(calls, Call.Ending.ANSWERED),
                count(calls, Call.Ending.NOT_RUN),
                count(calls, Call.Ending.UNKNOWN),
                count(calls, Call.Ending.BROKEN),
                count(calls, Call.Ending.UNREACHED),
                millis(latency.getValueAtPercentile(50)),
                millis(latency.getValueAtPercentile(99)));
    }

    private static String millis(long micros) {
        return String.format("%.1f", micros / 1_000.0);
    }

    private static long count(List<Call> calls, Call.Ending ending) {
        return calls.stream().filter(call -> call.ending() == ending).count();
    }

    private static void reasons(PrintStream out, List<Call> calls) {
        Map<String, Long> reasons = calls.stream()
                .filter(call -> !call.reason().isEmpty())
                .collect(Collectors.groupingBy(Call::reason, TreeMap::new, Collectors.counting()));
        out.println();
        out.println("refused or lost, by reason: " + (reasons.isEmpty() ? "none" : reasons));
    }
}
