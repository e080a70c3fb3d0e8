package org.knapweedhatch.cli.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Several runs side by side, as a table or as a plot of their latencies. */
final class Comparison {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;
    private static final int PERCENT = 100;

    private final List<Measurements> runs;

    private Comparison(List<Measurements> runs) {
        this.runs = List.copyOf(runs);
    }

    static Comparison of(List<Measurements> runs) {
        return new Comparison(runs);
    }

    List<String> table() {
        List<String> lines = new ArrayList<>();
        StringBuilder heading = new StringBuilder(String.format(Locale.ROOT, "%-28s", ""));
        runs.forEach(run -> heading.append(String.format(Locale.ROOT, "%14s", run.name())));
        lines.add(heading.toString());
        lines.add(row("requests", "%.0f", Measurements::requests));
        lines.add(row("answered", "%.0f", Measurements::answered));
        lines.add(row("unknown", "%.0f", Measurements::unknown));
        lines.add(row("refused within rate %", "%.4f", run -> percent(run.withinRateShare())));
        lines.add(row("worst team answered %", "%.3f", run -> percent(run.worstTeamShare())));
        lines.add(row("headroom %", "%.2f", run -> percent(run.headroom())));
        lines.add(row("drain ms", "%.1f", Measurements::drainMillis));
        for (double percentile : List.of(50.0, 90.0, 99.0, 99.9, 100.0)) {
            lines.add(row("latency p" + number(percentile) + " ms", "%.2f", run -> run.latency(percentile)));
        }
        return lines;
    }

    private String row(String label, String format, ToDoubleFunction<Measurements> value) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-28s", label));
        for (Measurements run : runs) {
            double known = value.applyAsDouble(run);
            String cell = known < 0 ? "-" : String.format(Locale.ROOT, format, known);
            line.append(String.format(Locale.ROOT, "%14s", cell));
        }
        return line.toString();
    }

    private static double percent(double share) {
        return share < 0 ? share : share * PERCENT;
    }

    private static String number(double percentile) {
        return percentile == Math.rint(percentile)
                ? String.valueOf((long) percentile)
                : String.format(Locale.ROOT, "%.1f", percentile);
    }

    /** Draws the latencies by percentile to a PNG file. */
    void plot(Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Latency of answers")
                .xAxisTitle("percentile")
                .yAxisTitle("ms")
                .build();
        for (Measurements run : runs) {
            double[] percentiles = run.latencies().stream()
                    .mapToDouble(Measurements.Latency::percentile)
                    .toArray();
            double[] millis = run.latencies().stream()
                    .mapToDouble(Measurements.Latency::millis)
                    .toArray();
            chart.addSeries(run.name(), percentiles, millis);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
