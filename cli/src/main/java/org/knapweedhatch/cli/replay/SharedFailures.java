package org.knapweedhatch.cli.replay;

import java.util.Set;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.TraceLine;
import org.knapweedhatch.world.Target;

/** The failures of networks and targets, which are the same for every fleet. */
final class SharedFailures {

    private SharedFailures() {}

    /** Lets a failure of a network or target begin or end; others do nothing here. */
    static void apply(TraceLine.Failure failure, boolean begins, Stage stage) {
        String subject = failure.subject();
        switch (failure.kind()) {
            case TARGET_KILL -> kill(stage, subject, begins);
            case TARGET_SLOW -> stage.servers().slow(subject, begins ? Math.max(1, failure.amount()) : 1);
            case TARGET_SHED -> stage.servers().shed(subject, begins);
            case DOMAIN_CUT -> set(stage.network().cutDomains(), subject, begins);
            case LINK_CUT -> set(stage.network().cutLinks(), subject, begins);
            case REGION_LOST -> loseRegion(stage, subject, begins);
            default -> {}
        }
    }

    private static void loseRegion(Stage stage, String region, boolean begins) {
        set(stage.network().lostRegions(), region, begins);
        stage.configuration().targets().values().stream()
                .filter(target -> Deployment.regionOf(target.domain()).equals(region))
                .map(Target::name)
                .sorted()
                .forEach(name -> kill(stage, name, begins));
    }

    private static void kill(Stage stage, String target, boolean begins) {
        if (begins) {
            stage.servers().kill(target);
        } else {
            stage.servers().revive(target);
        }
    }

    private static void set(Set<String> set, String subject, boolean begins) {
        if (begins) {
            set.add(subject);
        } else {
            set.remove(subject);
        }
    }
}
