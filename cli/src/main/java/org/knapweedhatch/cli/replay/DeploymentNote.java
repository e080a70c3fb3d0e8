package org.knapweedhatch.cli.replay;

import java.util.Locale;
import java.util.TreeMap;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.world.Configuration;

/** Writes what a trace declares as release notes. */
final class DeploymentNote {

    private final StringBuilder text = new StringBuilder();

    private DeploymentNote() {}

    /** Returns the note that declares a whole configuration. */
    static String of(Configuration configuration) {
        DeploymentNote note = new DeploymentNote();
        note.places(configuration);
        note.services(configuration);
        note.teams(configuration);
        return note.text.toString();
    }

    /** Returns the note of one change. */
    static String of(Change change) {
        DeploymentNote note = new DeploymentNote();
        String name = change.name();
        switch (change.action()) {
            case WITHDRAW_KEY -> note.section("withdraw key " + name);
            case CHANGE_TEAM -> {
                note.section("change team " + name);
                note.field("rate", change.rate());
                note.field("burst", change.burst());
            }
            case DRAIN_TARGET -> note.section("add drain target " + name);
            case DRAIN_HOST -> note.section("add drain host " + name);
            case DRAIN_DOMAIN -> note.section("add drain domain " + name);
            case DRAIN_REGION -> note.section("add drain region " + name);
            default -> note.section("withdraw drain region " + name);
        }
        return note.text.toString();
    }

    private void places(Configuration configuration) {
        new TreeMap<>(configuration.regions()).keySet().forEach(name -> section("add region " + name));
        new TreeMap<>(configuration.domains()).values().forEach(domain -> {
            section("add domain " + domain.name());
            field("region", domain.region());
        });
        new TreeMap<>(configuration.clientBlocks()).values().forEach(block -> {
            section("add blocks " + block.region());
            field("cidrs", block.cidr());
        });
        new TreeMap<>(configuration.links()).values().forEach(link -> {
            section("add link " + link.name());
            field("bytes-per-second", link.bytesPerSecond());
        });
    }

    private void services(Configuration configuration) {
        new TreeMap<>(configuration.services()).values().forEach(service -> {
            section("add service " + service.name());
            field("timeout", service.timeout().toMillis() + "ms");
        });
        new TreeMap<>(configuration.routes()).values().forEach(route -> {
            section("add route " + route.name());
            field("path", route.path());
            field("service", route.service());
            field("access", route.access().name().toLowerCase(Locale.ROOT));
        });
        new TreeMap<>(configuration.targets()).values().forEach(target -> {
            section("add target " + target.name());
            field("service", target.service());
            field("domain", target.domain());
            field("address", target.address());
            field("slots", target.slots());
            field("connections", target.connections());
        });
        new TreeMap<>(configuration.shifts()).values().forEach(shift -> {
            section("add shift " + shift.name());
            field("cap", shift.cap());
        });
    }

    private void teams(Configuration configuration) {
        new TreeMap<>(configuration.teams()).values().forEach(team -> {
            section("add team " + team.name());
            field("rate", team.rateLimit().rate());
            field("burst", team.rateLimit().burst());
        });
        new TreeMap<>(configuration.keys()).values().forEach(key -> {
            section("add key " + key.name());
            field("team", key.team());
            field("digest", key.digest());
        });
    }

    private void section(String title) {
        text.append('[').append(title).append("]\n");
    }

    private void field(String name, Object value) {
        text.append(name).append(" = ").append(value).append('\n');
    }
}
