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
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Team;

/**
 * Look-up service: answers which hosts a caller should use.
 *
 * <p>A team is directed to as few hosts of the nearest region as its rate allows, so that its quota is split between
 * few hosts. Thread-safe; answers are cached.
 *
 * <pre>{@code
 * LookUp lookUp = LookUp.of(table, configuration, view, latencies);
 * LookUpAnswer answer = lookUp.answer("10.1.2.3", "crew-1");
 * }</pre>
 */
public final class LookUp {

    /** How long a caller may cache an answer; a leaving host continues to serve for at least this long. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(5);

    /** Requests per second of one team per host above which the team is spread over more hosts. */
    static final double TEAM_RATE_PER_HOST = 200;

    private static final int MIN_HOSTS = 1;
    private static final int DEFAULT_WEIGHT = 100;
    private static final int MAX_CHOICES = 16;
    private static final int MAX_CACHED_ANSWERS = 100_000;

    private final ClientTable table;
    private final Configuration configuration;
    private final String ownRegion;
    private final RegionLatencies latencies;
    private final Map<String, List<Host>> hostsByRegion = new HashMap<>();
    private final Map<CacheKey, LookUpAnswer> cachedAnswers = new ConcurrentHashMap<>();

    private record CacheKey(String region, String team) {}

    private LookUp(ClientTable table, Configuration configuration, MembershipView view, RegionLatencies latencies) {
        this.table = table;
        this.configuration = configuration;
        this.latencies = latencies;
        ownRegion = view.member(view.self()).map(m -> m.host().region()).orElse("");
        for (Member member : view.members().values()) {
            if (member.takesWork() && !configuration.isDraining(member.host())) {
                hostsByRegion
                        .computeIfAbsent(member.host().region(), r -> new ArrayList<>())
                        .add(member.host());
            }
        }
    }

    /** Creates a look-up for a table, configuration and view; create a new one when any of them changes. */
    public static LookUp of(
            ClientTable table, Configuration configuration, MembershipView view, RegionLatencies latencies) {
        return new LookUp(
                Validate.notNull(table, "table"),
                Validate.notNull(configuration, "configuration"),
                Validate.notNull(view, "view"),
                Validate.notNull(latencies, "latencies"));
    }

    /** Returns the region nearest to a client address, or the region of this host if no block contains the address. */
    public String nearestRegion(String clientIp) {
        return table.region(clientIp).orElse(ownRegion);
    }

    /** Returns the hosts that a caller of a team should use; without choices if no host accepts requests. */
    public LookUpAnswer answer(String clientIp, String team) {
        CacheKey key = new CacheKey(nearestRegion(clientIp), team);
        LookUpAnswer cached = cachedAnswers.get(key);
        if (cached != null) {
            return cached;
        }
        LookUpAnswer answer = answer(key);
        if (cachedAnswers.size() < MAX_CACHED_ANSWERS) {
            cachedAnswers.put(key, answer);
        }
        return answer;
    }

    private LookUpAnswer answer(CacheKey key) {
        List<LookUpAnswer.Choice> choices = new ArrayList<>();
        for (String region : regionsByDistance(key.region())) {
            if (choices.size() < MAX_CHOICES) {
                addHosts(choices, region, key.team());
            }
        }
        List<LookUpAnswer.Choice> best = choices.subList(0, Math.min(choices.size(), MAX_CHOICES));
        return new LookUpAnswer(configuration.number(), key.region(), best, TIME_TO_LIVE);
    }

    private List<String> regionsByDistance(String region) {
        Comparator<String> byDistance = Comparator.comparing(to -> latencies.oneWay(region, to));
        return hostsByRegion.keySet().stream()
                .sorted(byDistance.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private void addHosts(List<LookUpAnswer.Choice> choices, String region, String team) {
        List<Host> order = Rendezvous.order("team:" + team, hostsByRegion.get(region), Host::name);
        int preferred = Math.min(order.size(), preferredHostCount(team));
        int rank = choices.isEmpty() ? 0 : choices.get(choices.size() - 1).rank() + 1;
        for (int i = 0; i < order.size(); i++) {
            int thisRank = i < preferred ? rank : rank + 1;
            choices.add(new LookUpAnswer.Choice(order.get(i), thisRank, DEFAULT_WEIGHT));
        }
    }

    private int preferredHostCount(String team) {
        Team configured = configuration.teams().get(team);
        double rate = configured == null ? 0 : configured.rateLimit().rate();
        return Math.max(MIN_HOSTS, (int) Math.ceil(rate / TEAM_RATE_PER_HOST));
    }
}
