package org.knapweedhatch.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.knapweedhatch.target.KnownTarget;

/** Chooses targets. */
public final class Placer {

    private final String domain;
    private final String region;
    private final Map<String, Gauge> gauges = new HashMap<>();
    private volatile List<KnownTarget> all = List.of();
    private Map<String, List<Gauge>> byService = Map.of();

    private static final class Gauge {
        private KnownTarget target;
        private int outstanding;
        private int seed;
    }

    private Placer(String domain, String region) {
        this.domain = domain;
        this.region = region;
    }

    /** Creates a placer. */
    public static Placer of(String domain, String region) {
        return new Placer(domain, region);
    }

    /** Sets targets. */
    public synchronized void targets(List<KnownTarget> targets) {
        Map<String, List<Gauge>> next = new HashMap<>();
        for (KnownTarget target : targets) {
            Gauge gauge = gauges.computeIfAbsent(target.name() + "/" + target.life(), name -> new Gauge());
            gauge.target = target;
            gauge.seed = MurmurHash3.hash32x86(target.name().getBytes(java.nio.charset.StandardCharsets.UTF_8));
            if (!target.closed()) {
                next.computeIfAbsent(target.target().service(), s -> new java.util.ArrayList<>())
                        .add(gauge);
            }
        }
        byService = next;
        all = targets;
    }

    /** Returns all. */
    public List<KnownTarget> targets() {
        return all;
    }

    /** Places. */
    public synchronized Placement place(Ask ask) {
        Gauge best = null;
        double bestCost = Double.MAX_VALUE;
        byte[] object = ask.object().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        for (Gauge gauge : byService.getOrDefault(ask.service(), List.of())) {
            KnownTarget target = gauge.target;
            if (!ask.allows(target.region()) || ask.tried().contains(target.name())) {
                continue;
            }
            double far = target.target().domain().equals(domain)
                    ? 0
                    : target.region().equals(region) ? 0.5 : 1;
            double hash = (MurmurHash3.hash32x86(object, 0, object.length, gauge.seed) >>> 1) / (double) (1L << 31);
            double cost = 4 * hash
                    + far
                    + (double) gauge.outstanding / target.target().slots();
            if (cost < bestCost) {
                bestCost = cost;
                best = gauge;
            }
        }
        if (best == null) {
            return new Placement.Refused(Duration.ofMillis(500));
        }
        best.outstanding++;
        return new Placement.Sent(best.target);
    }

    /** Ends. */
    public synchronized void ended(KnownTarget target, Ending ending, long nanos, Optional<String> load) {
        Gauge gauge = gauges.get(target.name() + "/" + target.life());
        if (gauge != null) {
            gauge.outstanding--;
        }
    }
}
