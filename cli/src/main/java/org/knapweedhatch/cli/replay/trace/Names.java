package org.knapweedhatch.cli.replay.trace;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** The names that a deployment knows, to check the lines of a trace against. */
final class Names {

    private final Configuration configuration;
    private final Set<String> hosts;

    private Names(Configuration configuration, Set<String> hosts) {
        this.configuration = configuration;
        this.hosts = hosts;
    }

    static Names of(Deployment deployment) {
        return new Names(
                deployment.configuration(),
                deployment.hosts().stream().map(Host::name).collect(Collectors.toSet()));
    }

    /** Returns what is wrong with the names in a line, the field first; empty where all are known. */
    List<String> unknown(TraceLine line) {
        if (line instanceof TraceLine.Load load) {
            return unknown(load.request());
        }
        if (line instanceof TraceLine.Arrival arrival) {
            if (!configuration.services().containsKey(arrival.service())) {
                return List.of("service: " + arrival.service() + " is unknown");
            }
            if (!configuration.regions().containsKey(arrival.region())) {
                return List.of("region: " + arrival.region() + " is unknown");
            }
        }
        if (line instanceof TraceLine.Failure failure && !known(failure)) {
            return List.of("subject: " + failure.subject() + " is unknown");
        }
        if (line instanceof TraceLine.Release release && !known(release.change())) {
            return List.of("name: " + release.change().name() + " is unknown");
        }
        return List.of();
    }

    private boolean known(TraceLine.Failure failure) {
        String subject = failure.subject();
        return switch (failure.kind()) {
            case HOST_RESTART, HOST_REPLACE, HOST_PAUSE -> hosts.contains(subject);
            case TARGET_KILL, TARGET_SLOW, TARGET_SHED ->
                configuration.targets().containsKey(subject);
            case DOMAIN_CUT -> configuration.domains().containsKey(subject);
            case REGION_LOST, REPORTS_FROZEN -> configuration.regions().containsKey(subject);
            case LINK_CUT -> configuration.links().containsKey(subject);
            case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_LOSES_ANSWERS -> subject.isEmpty();
        };
    }

    private boolean known(Change change) {
        return switch (change.action()) {
            case WITHDRAW_KEY -> configuration.keys().containsKey(change.name());
            case CHANGE_TEAM -> configuration.teams().containsKey(change.name());
            case DRAIN_TARGET -> configuration.targets().containsKey(change.name());
            case DRAIN_HOST -> hosts.contains(change.name());
            case DRAIN_DOMAIN -> configuration.domains().containsKey(change.name());
            case DRAIN_REGION, END_DRAIN_REGION -> configuration.regions().containsKey(change.name());
        };
    }
}
