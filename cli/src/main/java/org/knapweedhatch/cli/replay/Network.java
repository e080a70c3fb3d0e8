package org.knapweedhatch.cli.replay;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.trace.Deployment;

/** The ways between failure domains: how long they take, which are cut, and what they lose. */
final class Network {

    private static final double JITTER = 0.2;
    private static final double DATAGRAM_LOSS = 0.001;

    private final Deployment deployment;
    private final EventQueue queue;
    private final Observer observer;
    private final SplittableRandom random;
    private final Set<String> cutDomains = new HashSet<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> lostRegions = new HashSet<>();

    Network(Deployment deployment, EventQueue queue, Observer observer, SplittableRandom random) {
        this.deployment = deployment;
        this.queue = queue;
        this.observer = observer;
        this.random = random;
    }

    Set<String> cutDomains() {
        return cutDomains;
    }

    Set<String> cutLinks() {
        return cutLinks;
    }

    Set<String> lostRegions() {
        return lostRegions;
    }

    /** Returns whether bytes sent from one failure domain arrive in another. */
    boolean reaches(String from, String to) {
        String fromRegion = Deployment.regionOf(from);
        String toRegion = Deployment.regionOf(to);
        if (lostRegions.contains(fromRegion) || lostRegions.contains(toRegion)) {
            return false;
        }
        boolean same = from.equals(to);
        return same
                || !cutDomains.contains(from)
                        && !cutDomains.contains(to)
                        && !cutLinks.contains(fromRegion + "->" + toRegion);
    }

    /** Returns whether a failure domain reaches the platform. */
    boolean reachesPlatform(String domain) {
        return !cutDomains.contains(domain) && !lostRegions.contains(Deployment.regionOf(domain));
    }

    /** Returns the one-way time between two failure domains, as it varies. */
    long delay(String from, String to) {
        return vary(deployment.delay(from, to).toNanos());
    }

    /** Returns the one-way time from a failure domain to the platform. */
    long platformDelay(String domain) {
        return delay(domain, deployment.regions().get(0) + "-a");
    }

    /** Returns the one-way time between a caller and a failure domain. */
    long callerDelay(String region, String domain) {
        long near = Deployment.CLIENT_DELAY.toNanos();
        boolean home = Deployment.regionOf(domain).equals(region);
        return vary(home ? near : near + deployment.delay(region + "-a", domain).toNanos());
    }

    /** Sends a short message that may be lost. */
    void post(String from, String to, Runnable arrives) {
        if (reaches(from, to) && random.nextDouble() >= DATAGRAM_LOSS) {
            queue.after(delay(from, to), arrives);
        }
    }

    /** Counts bytes that leave a region. */
    void count(String from, String to, long bytes) {
        String fromRegion = Deployment.regionOf(from);
        String toRegion = Deployment.regionOf(to);
        if (!fromRegion.equals(toRegion)) {
            observer.sent(queue.now(), fromRegion + "->" + toRegion, bytes);
        }
    }

    private long vary(long nanos) {
        return (long) (nanos * (1 + JITTER * random.nextDouble()));
    }
}
