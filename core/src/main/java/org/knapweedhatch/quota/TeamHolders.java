package org.knapweedhatch.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.Rendezvous;

/**
 * The hosts at which the requests of each team are admitted.
 *
 * <p>In a small fleet every host admits for itself. In a larger one the share of a host would be a fraction of a
 * request, so one host of each region, the team's holder, admits for all hosts of the region.
 *
 * <p>Immutable except for a cache; thread-safe.
 */
public final class TeamHolders {

    /**
     * Largest fleet in which every host admits for itself. Its hosts report at the shortest interval, and each may
     * exceed its share by about two requests between two reports.
     */
    private static final int MAX_ADMITTING_HOSTS = 16;

    /** Hosts that are asked for a team in turn: the holder, and the host that takes over when it does not answer. */
    private static final int CANDIDATES = 2;

    private final String self;
    private final String region;
    private final SortedMap<String, List<String>> hostsByRegion;
    private final Map<String, List<String>> candidates = new ConcurrentHashMap<>();

    private TeamHolders(String self, String region, SortedMap<String, List<String>> hostsByRegion) {
        this.self = self;
        this.region = region;
        this.hostsByRegion = hostsByRegion;
    }

    /** Returns holders under which every host admits for itself. */
    public static TeamHolders everyHost() {
        return new TeamHolders("", "", new TreeMap<>());
    }

    /**
     * Returns the holders under a membership.
     *
     * @param knownHosts hosts that may be serving, heard or not
     * @param previous result of the last call, which is returned again if nothing changed
     */
    public static TeamHolders of(MembershipView view, int knownHosts, TeamHolders previous) {
        if (Math.max(knownHosts, view.members().size()) <= MAX_ADMITTING_HOSTS) {
            return previous.isEveryHost() ? previous : everyHost();
        }
        String region =
                view.member(view.self()).map(member -> member.host().region()).orElse("");
        SortedMap<String, List<String>> hosts = new TreeMap<>();
        view.members().values().stream()
                .filter(member -> mayAdmit(member, region))
                .sorted(Comparator.comparing(Member::name))
                .forEach(member -> hosts.computeIfAbsent(member.host().region(), name -> new ArrayList<>())
                        .add(member.name()));
        hosts.computeIfAbsent(region, name -> new ArrayList<>(List.of(view.self())));
        boolean unchanged = previous.self.equals(view.self()) && previous.hostsByRegion.equals(hosts);
        return unchanged ? previous : new TeamHolders(view.self(), region, hosts);
    }

    /** A host of another region counts once it lives: whether each of them is ready is not known here. */
    private static boolean mayAdmit(Member member, String ownRegion) {
        boolean near = member.host().region().equals(ownRegion);
        return near ? member.takesWork() : member.state() == MemberState.ALIVE;
    }

    /** Returns whether every host admits for itself. */
    public boolean isEveryHost() {
        return hostsByRegion.isEmpty();
    }

    /** Returns the number of hosts that admit requests of one team, given the number of hosts that are heard. */
    public int admitters(int heard) {
        return isEveryHost() ? heard : hostsByRegion.size();
    }

    /** Returns the hosts to ask for a team, in this order; empty if every host admits for itself. */
    public List<String> candidates(String team) {
        if (isEveryHost()) {
            return List.of();
        }
        return candidates.computeIfAbsent(
                team,
                name -> order(name, hostsByRegion.get(region))
                        .subList(
                                0,
                                Math.min(CANDIDATES, hostsByRegion.get(region).size())));
    }

    /** Returns whether this host admits the requests of a team. */
    public boolean isHolder(String team) {
        return isEveryHost() || candidates(team).get(0).equals(self);
    }

    /** Returns whether this host admits the requests of a team, or takes over when its holder does not reply. */
    public boolean isCandidate(String team) {
        return isEveryHost() || candidates(team).contains(self);
    }

    /** Returns the holders of a team in other regions, if this host may admit its requests. */
    public List<String> holdersElsewhere(String team) {
        if (isEveryHost() || !isCandidate(team)) {
            return List.of();
        }
        return hostsByRegion.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(region))
                .map(entry -> order(team, entry.getValue()).get(0))
                .toList();
    }

    private static List<String> order(String team, List<String> hosts) {
        return Rendezvous.order("limit:" + team, hosts, host -> host);
    }
}
