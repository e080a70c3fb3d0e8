package org.knapweedhatch.cli.replay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.steer.LookUpAnswer;

/** The callers: each asks some host which hosts to use, keeps the answer for its time to live, and sends. */
final class Callers {

    private static final long REFUSED_NANOS = Duration.ofMillis(16).toNanos();
    private static final long CONNECT_TIMEOUT_NANOS = Duration.ofMillis(200).toNanos();
    private static final int MOST_TRIES = 6;

    private record Place(String region, String key) {}

    private record Cached(LookUpAnswer answer, long untilNanos) {}

    private final Stage stage;
    private final RealFleet fleet;
    private final SplittableRandom random;
    private final Map<Place, Cached> cache = new HashMap<>();

    Callers(Stage stage, RealFleet fleet) {
        this.stage = stage;
        this.fleet = fleet;
        this.random = stage.random();
    }

    void send(Request request) {
        send(request, 0);
    }

    private void send(Request request, int tries) {
        String region = request.arrival().region();
        Optional<HostProcess> host =
                tries < MOST_TRIES ? choose(region, request.arrival().key(), tries) : Optional.empty();
        if (host.isEmpty()) {
            stage.answer(request, region + "-a", Outcome.notRun(Outcome.UNREACHABLE));
            return;
        }
        HostProcess chosen = host.get();
        long way = stage.network().callerDelay(region, chosen.domain());
        if (!chosen.isAlive() || stage.network().lostRegions().contains(Deployment.regionOf(chosen.domain()))) {
            cache.remove(new Place(region, request.arrival().key()));
            long lost = chosen.isAlive() ? CONNECT_TIMEOUT_NANOS : REFUSED_NANOS;
            stage.queue().after(lost, () -> send(request, tries + 1));
            return;
        }
        fleet.open(request, chosen);
        stage.queue().after(way, () -> chosen.run(() -> chosen.desk().arrive(request)));
    }

    /** Chooses among the hosts of the lowest rank, and after a failed try among all that the answer names. */
    private Optional<HostProcess> choose(String region, String key, int tries) {
        Place place = new Place(region, key);
        Cached cached = cache.get(place);
        if (cached == null || stage.now() >= cached.untilNanos()) {
            Optional<LookUpAnswer> answer = lookUp(region, key);
            if (answer.isEmpty() || answer.get().choices().isEmpty()) {
                return Optional.empty();
            }
            cached = new Cached(
                    answer.get(), stage.now() + answer.get().timeToLive().toNanos());
            cache.put(place, cached);
        }
        List<LookUpAnswer.Choice> choices = cached.answer().choices();
        List<LookUpAnswer.Choice> best = choices.stream()
                .filter(choice -> tries > 0 || choice.rank() == choices.get(0).rank())
                .toList();
        return fleet.process(best.get(random.nextInt(best.size())).host().name());
    }

    /** Asks a host of the own region, else any host, as a caller whose first choice does not answer would. */
    private Optional<LookUpAnswer> lookUp(String region, String key) {
        return fleet.serving(region).map(host -> host.lookUp(region, key));
    }
}
