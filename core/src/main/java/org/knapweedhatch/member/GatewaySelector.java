package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.knapweedhatch.world.Host;

/**
 * Selects the two gateway hosts of a region for each other region, by rendezvous hashing with bounded loads.
 *
 * <p>The two are in different failure domains if the region has two. Hosts that know the same hosts and regions make
 * the same choice without communication.
 */
final class GatewaySelector {

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final List<Host> hosts;
    private final int maxTopicsPerHost;
    private final Map<String, Integer> topicCounts = new HashMap<>();

    private GatewaySelector(Collection<Host> hosts, int topics) {
        this.hosts = List.copyOf(hosts);
        maxTopicsPerHost = (2 * topics + hosts.size() - 1) / Math.max(1, hosts.size());
    }

    /** Returns a pair of hosts for each topic (a region name), with the topics balanced between the hosts. */
    static Map<String, List<Host>> pairs(Collection<Host> hosts, Collection<String> topics) {
        GatewaySelector selector = new GatewaySelector(hosts, topics.size());
        Map<String, List<Host>> pairs = new TreeMap<>();
        for (String topic : new TreeSet<>(topics)) {
            pairs.put(topic, selector.pair(topic));
        }
        return pairs;
    }

    /** Returns the pair of hosts for a single topic. */
    static List<Host> pair(Collection<Host> hosts, String topic) {
        return new GatewaySelector(hosts, 1).pair(topic);
    }

    private List<Host> pair(String topic) {
        List<Host> pair = new ArrayList<>(2);
        bestCandidate(topic, host -> true).ifPresent(first -> {
            pair.add(first);
            bestCandidate(topic, host -> !host.domain().equals(first.domain()))
                    .or(() -> bestCandidate(topic, host -> !host.equals(first)))
                    .ifPresent(pair::add);
        });
        pair.forEach(host -> topicCounts.merge(host.name(), 1, Integer::sum));
        return pair;
    }

    private Optional<Host> bestCandidate(String topic, Predicate<Host> wanted) {
        Comparator<Host> order = Comparator.<Host>comparingInt(host -> atCapacity(host) ? 1 : 0)
                .thenComparing(host -> weight(host.name(), topic), Comparator.reverseOrder())
                .thenComparing(Host::name);
        return hosts.stream().filter(wanted).min(order);
    }

    private boolean atCapacity(Host host) {
        return topicCounts.getOrDefault(host.name(), 0) >= maxTopicsPerHost;
    }

    private static long weight(String name, String topic) {
        long h = name.hashCode() * HASH_MULTIPLIER + topic.hashCode();
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }
}
