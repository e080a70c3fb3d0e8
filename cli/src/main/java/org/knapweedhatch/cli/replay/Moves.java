package org.knapweedhatch.cli.replay;

import java.util.HashSet;
import java.util.Set;
import org.knapweedhatch.cli.replay.check.Request;

/** Notes, once per request and region, that a request is served outside the region where it arose. */
final class Moves {

    private record Move(long request, String to) {}

    private final Stage stage;
    private final Set<Move> moves = new HashSet<>();

    Moves(Stage stage) {
        this.stage = stage;
    }

    void served(Request request, String region) {
        String origin = request.arrival().region();
        if (!origin.equals(region) && moves.add(new Move(request.id(), region))) {
            stage.observer().moved(stage.now(), request, origin, region);
        }
    }
}
