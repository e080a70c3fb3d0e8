package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.View;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Team;

/**
 * Answers which hosts a caller should use.
 *
 * <p>A team is kept on as few hosts of the nearest region as its rate allows, so that its budget stays in few pieces.
 *
 * <pre>{@code
 * LookUp lookUp = LookUp.of(table, configuration, view, distances);
 * Answer answer = lookUp.answer("10.1.2.3", "crew-1");
 * }</pre>
 */
public final class LookUp {

    /** How long a caller may keep an answer; a leaving host serves on for at least as long. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(5);

    /** Requests per second of one team that one host carries before the team is spread further. */
    static final double TEAM_RATE_PER_HOST = 200;

    private static final int FEWEST_HOSTS = 1;
    private static final int FIRST_WEIGHT = 100;
    private static final int MOST_CHOICES = 16;
    private static final int MOST_CACHED = 100_000;

    private final ClientTable table;
    private final Configuration configuration;
    private final String ownRegion;
    private final Distances distances;
    private final Map<String, List<Host>> hostsByRegion = new HashMap<>();
    private final Map<Place, Answer> answers = new ConcurrentHashMap<>();

    private record Place(String region, String team) {}

    private LookUp(ClientTable table, Configuration configuration, View view, Distances distances) {
        this.table = table;
        this.configuration = configuration;
        this.distances = distances;
        ownRegion = view.member(view.self()).map(m -> m.host().region()).orElse("");
        for (Member member : view.members().values()) {
            if (member.takesWork() && !configuration.isDraining(member.host())) {
                hostsByRegion
                        .computeIfAbsent(member.host().region(), r -> new ArrayList<>())
                        .add(member.host());
            }
        }
    }

    /** Creates a look-up for one table, configuration and view; make a new one when any of them changes. */
    public static LookUp of(ClientTable table, Configuration configuration, View view, Distances distances) {
        return new LookUp(
                Validate.notNull(table, "table"),
                Validate.notNull(configuration, "configuration"),
                Validate.notNull(view, "view"),
                Validate.notNull(distances, "distances"));
    }

    /** Returns the region nearest to a client address: that of its block, else the answering host's own. */
    public String region(String clientIp) {
        return table.region(clientIp).orElse(ownRegion);
    }

    /** Returns the hosts that a caller of a team should use; the choices are empty where no host takes work. */
    public Answer answer(String clientIp, String team) {
        Place place = new Place(region(clientIp), team);
        Answer known = answers.get(place);
        if (known != null) {
            return known;
        }
        Answer answer = answer(place);
        if (answers.size() < MOST_CACHED) {
            answers.put(place, answer);
        }
        return answer;
    }

    private Answer answer(Place place) {
        List<Answer.Choice> choices = new ArrayList<>();
        for (String region : nearestFirst(place.region())) {
            if (choices.size() < MOST_CHOICES) {
                addHosts(choices, region, place.team());
            }
        }
        List<Answer.Choice> best = choices.subList(0, Math.min(choices.size(), MOST_CHOICES));
        return new Answer(configuration.number(), place.region(), best, TIME_TO_LIVE);
    }

    private List<String> nearestFirst(String region) {
        Comparator<String> byDistance = Comparator.comparing(to -> distances.between(region, to));
        return hostsByRegion.keySet().stream()
                .sorted(byDistance.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private void addHosts(List<Answer.Choice> choices, String region, String team) {
        List<Host> order = Rendezvous.order("team:" + team, hostsByRegion.get(region), Host::name);
        int first = Math.min(order.size(), spread(team));
        int rank = choices.isEmpty() ? 0 : choices.get(choices.size() - 1).rank() + 1;
        for (int i = 0; i < order.size(); i++) {
            int thisRank = i < first ? rank : rank + 1;
            choices.add(new Answer.Choice(order.get(i), thisRank, FIRST_WEIGHT));
        }
    }

    private int spread(String team) {
        Team known = configuration.teams().get(team);
        double rate = known == null ? 0 : known.rateLimit().rate();
        return Math.max(FEWEST_HOSTS, (int) Math.ceil(rate / TEAM_RATE_PER_HOST));
    }
}
