package org.knapweedhatch.cli.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knapweedhatch.cli.replay.Finding;
import org.knapweedhatch.cli.replay.check.Tally;
import org.knapweedhatch.cli.replay.trace.Measure;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/**
 * What was measured in one run.
 *
 * @param name name of the run
 * @param requests requests sent
 * @param answered requests answered
 * @param unknown requests whose outcome is unknown
 * @param withinRateShare share of requests refused although inside the team's contract; -1 where not known
 * @param worstTeamShare smallest share of answered requests of any team; -1 where not known
 * @param headroom smallest share of slots free in any region; -1 where not known
 * @param drainMillis time from the order to drain to the end of the last request there; -1 where not known
 * @param latencies latency of answers
 */
public record Measurements(
        String name,
        long requests,
        long answered,
        long unknown,
        double withinRateShare,
        double worstTeamShare,
        double headroom,
        double drainMillis,
        List<Latency> latencies) {

    /** Stands for a measure that a run cannot know. */
    public static final double NOT_KNOWN = -1;

    private static final List<Double> PERCENTILES = List.of(10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0);
    private static final double MICROS_PER_MILLI = 1e3;
    private static final JsonMapper MAPPER = new JsonMapper();

    /** A percentile of the latency. */
    public record Latency(double percentile, double millis) {}

    public Measurements {
        latencies = List.copyOf(latencies);
    }

    /** Returns the measurements of a replay. */
    public static Measurements of(Finding finding) {
        Tally tally = finding.tally();
        long requests = tally.teams().values().stream()
                .mapToLong(Tally.TeamCount::arrived)
                .sum();
        return new Measurements(
                finding.fleet(),
                requests,
                (long) tally.value(Measure.ANSWERED, ""),
                (long) tally.value(Measure.UNKNOWN, ""),
                tally.value(Measure.REFUSED_WITHIN_RATE_SHARE, ""),
                tally.value(Measure.WORST_TEAM_SHARE, ""),
                tally.headroom(),
                tally.value(Measure.DRAIN_MS, ""),
                latencies(tally.latency()));
    }

    /** Returns the usual percentiles of latencies in microseconds. */
    static List<Latency> latencies(Histogram micros) {
        return PERCENTILES.stream()
                .map(p -> new Latency(p, micros.getValueAtPercentile(p) / MICROS_PER_MILLI))
                .toList();
    }

    /** Returns a percentile of the latency in milliseconds; {@link #NOT_KNOWN} where it was not kept. */
    public double latency(double percentile) {
        return latencies.stream()
                .filter(latency -> latency.percentile() == percentile)
                .mapToDouble(Latency::millis)
                .findFirst()
                .orElse(NOT_KNOWN);
    }

    /** Returns these measurements under another name. */
    public Measurements named(String other) {
        return new Measurements(
                other, requests, answered, unknown, withinRateShare, worstTeamShare, headroom, drainMillis, latencies);
    }

    /** Returns the measurements as JSON. */
    public String json() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain fields is written", e);
        }
    }

    /** Parses measurements that were saved in a file. */
    public static Result<Measurements> parse(String file, String json) {
        try {
            return Result.ok(MAPPER.readValue(json, Measurements.class));
        } catch (JsonProcessingException e) {
            return Result.failed(Step.TRACE, file, "not a saved run: " + e.getOriginalMessage());
        }
    }
}
