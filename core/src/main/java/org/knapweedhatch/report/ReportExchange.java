package org.knapweedhatch.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;

/**
 * Decides which hosts get the reports of this host, and passes on the reports of others.
 *
 * <p>In a small fleet every host reports to every other. In a larger one each host reports to the collector of its
 * failure domain; collectors exchange the reports of their domains, and each sends all reports in one message to the
 * hosts of its domain. So the messages of a host grow with the number of domains at most. A host that hears nothing
 * from its collector reports to every other host.
 *
 * <p>Where few hosts carry the load of a region, these also report to each other directly at the shortest interval, or
 * at a longer one so that direct reports stay within a bound on bytes and messages.
 *
 * <p>Thread-safe.
 */
public final class ReportExchange {

    /** Largest fleet in which every host reports to every other. */
    private static final int MAX_DIRECT_HOSTS = 16;

    /** Shortest interval at which reports are collected. */
    private static final Duration COLLECT_INTERVAL = Duration.ofMillis(500);

    /** Intervals that a collected report takes at most to reach all hosts. */
    private static final int COLLECT_STEPS = 3;

    /** Most reports a second that a host takes in, which bounds their processor time. */
    private static final int MAX_COLLECTED_PER_SECOND = 200;

    private static final Duration MAX_COLLECT_INTERVAL = Duration.ofMillis(1_500);

    /** Intervals without a message of the collector after which a host reports to all others. */
    private static final int SILENT_INTERVALS = 3;

    /** Most bytes per second that a host sends in direct reports, and receives: 5 % of a link of 7 Mbit/s. */
    private static final int MAX_DIRECT_BYTES_PER_SECOND = 40_000;

    /** The same in a large fleet: the bound on the control traffic of a host in a fleet of 1,000. */
    private static final int MAX_DIRECT_BYTES_PER_SECOND_LARGE = 17_000;

    /** Largest fleet with the higher bound; from there on, collectors pass reports on at their longest interval. */
    private static final int MAX_MEDIUM_HOSTS = 300;

    /** Most direct reports per second that a host sends, and receives; see {@link ReportPacing}. */
    private static final int MAX_DIRECT_PER_SECOND = 40;

    /** Part of an interval by which the calls of {@link #tick} may come early. */
    private static final Duration TOLERANCE = Duration.ofMillis(50);

    private final String self;
    private final TimeSource time;
    private final HostReports reports;
    private final LongSupplier incarnation;
    private final Sender sender;
    private final Map<String, ReportBundle.Item> ownDomain = new LinkedHashMap<>();
    private final Map<String, ReportBundle.Item> otherDomains = new LinkedHashMap<>();
    private MembershipView view;
    private List<String> others = List.of();
    private List<String> mates = List.of();
    private Map<String, String> collectors = Map.of();
    private Set<String> loadCarriers = Set.of();
    private List<String> directReceivers = List.of();
    private int reportBytes;
    private String domain = "";
    private int knownHosts = 1;
    private long sentNanos;
    private long sentToAllNanos;
    private long sentDirectlyNanos;
    private long heardCollectorNanos;

    /** Sends a message to some hosts; must not block. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message to some hosts. */
        void send(Collection<String> hosts, PeerMessage message);
    }

    private ReportExchange(String self, HostReports reports, LongSupplier incarnation, Sender sender, TimeSource time) {
        this.self = self;
        this.reports = reports;
        this.incarnation = incarnation;
        this.sender = sender;
        this.time = time;
        view = MembershipView.of(self, List.of());
        heardCollectorNanos = time.nanos();
    }

    /**
     * Creates the exchange of a host that knows no others yet.
     *
     * @param reports where reports of other hosts are stored
     * @param incarnation returns the incarnation of this process
     */
    public static ReportExchange of(
            String self, HostReports reports, LongSupplier incarnation, Sender sender, TimeSource time) {
        return new ReportExchange(
                Validate.notEmpty(self, "self"),
                Validate.notNull(reports, "reports"),
                Validate.notNull(incarnation, "incarnation"),
                Validate.notNull(sender, "sender"),
                Validate.notNull(time, "time"));
    }

    /**
     * Updates the receivers from the current membership.
     *
     * @param known number of hosts that may be serving, heard or not
     */
    public synchronized void update(MembershipView next, int known) {
        view = next;
        knownHosts = Math.max(known, next.members().size());
        domain = next.member(self).map(member -> member.host().domain()).orElse("");
        others = names(next, member -> true);
        mates = names(next, member -> member.host().domain().equals(domain));
        Map<String, String> chosen = new TreeMap<>();
        next.members().values().stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .forEach(member ->
                        chosen.merge(member.host().domain(), member.name(), (a, b) -> a.compareTo(b) < 0 ? a : b));
        collectors = chosen;
        updateDirectReceivers();
    }

    /**
     * Sets the hosts that carry the load of this host's region, as callers are told to use them; empty if all do. They
     * report to each other directly.
     */
    public synchronized void loadCarriers(Set<String> hosts) {
        loadCarriers = Set.copyOf(hosts);
        updateDirectReceivers();
    }

    private void updateDirectReceivers() {
        directReceivers = loadCarriers.contains(self)
                ? others.stream().filter(loadCarriers::contains).toList()
                : List.of();
    }

    /** Returns the number of hosts to which this one reports directly, beside the usual reports. */
    public synchronized int directReceiverCount() {
        return reportsDirectly() ? directReceivers.size() : 0;
    }

    private List<String> names(MembershipView next, Predicate<Member> condition) {
        return next.members().values().stream()
                .filter(member -> !member.name().equals(self))
                .filter(member -> member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING)
                .filter(condition)
                .map(Member::name)
                .toList();
    }

    /** Sends what is due; {@code report} creates the current report of this host, at most once. */
    public synchronized void tick(Supplier<HostReport> report) {
        if (knownHosts <= MAX_DIRECT_HOSTS) {
            if (due(sentToAllNanos, ReportPacing.interval(knownHosts))) {
                sendToAll(report.get());
            }
            return;
        }
        boolean collects = due(sentNanos, collectInterval());
        boolean direct = reportsDirectly() && due(sentDirectlyNanos, directInterval());
        if (!collects && !direct) {
            return;
        }
        HostReport own = report.get();
        reportBytes = own.networkBytes();
        if (direct) {
            // Counted on from the time that was due, so that early ticks do not add up to a higher rate.
            sentDirectlyNanos =
                    Math.max(sentDirectlyNanos + directInterval().toNanos(), time.nanos() - TOLERANCE.toNanos());
            sender.send(directReceivers, own);
        }
        if (collects) {
            collect(own);
        }
    }

    private void collect(HostReport own) {
        sentNanos = time.nanos();
        if (isCollector()) {
            passOn(own);
        } else {
            sender.send(collectorOf(domain), own);
            boolean silent = time.nanos() - heardCollectorNanos
                    > collectInterval().multipliedBy(SILENT_INTERVALS).toNanos();
            if (silent && due(sentToAllNanos, ReportPacing.interval(knownHosts))) {
                sendToAll(own);
            }
        }
    }

    /** Returns whether direct reports are worth their cost: as rare as those by collectors, they tell nothing new. */
    private boolean reportsDirectly() {
        return knownHosts > MAX_DIRECT_HOSTS
                && !directReceivers.isEmpty()
                && directInterval().compareTo(collectInterval().multipliedBy(COLLECT_STEPS)) < 0;
    }

    private Duration directInterval() {
        int receivers = directReceivers.size();
        Duration byMessages = Duration.ofSeconds(receivers).dividedBy(MAX_DIRECT_PER_SECOND);
        int bytesPerSecond =
                knownHosts <= MAX_MEDIUM_HOSTS ? MAX_DIRECT_BYTES_PER_SECOND : MAX_DIRECT_BYTES_PER_SECOND_LARGE;
        Duration byBytes = Duration.ofSeconds((long) receivers * reportBytes).dividedBy(bytesPerSecond);
        Duration paced = byMessages.compareTo(byBytes) < 0 ? byBytes : byMessages;
        return paced.compareTo(ReportPacing.MIN_INTERVAL) < 0 ? ReportPacing.MIN_INTERVAL : paced;
    }

    private boolean due(long lastNanos, Duration interval) {
        return time.since(lastNanos).plus(TOLERANCE).compareTo(interval) >= 0;
    }

    private Duration collectInterval() {
        Duration paced = Duration.ofSeconds(knownHosts).dividedBy(MAX_COLLECTED_PER_SECOND);
        Duration atLeast = paced.compareTo(COLLECT_INTERVAL) < 0 ? COLLECT_INTERVAL : paced;
        return atLeast.compareTo(MAX_COLLECT_INTERVAL) > 0 ? MAX_COLLECT_INTERVAL : atLeast;
    }

    private void sendToAll(HostReport report) {
        sentToAllNanos = time.nanos();
        if (!others.isEmpty()) {
            sender.send(others, report);
        }
    }

    private boolean isCollector() {
        return self.equals(collectors.get(domain));
    }

    private List<String> collectorOf(String which) {
        String collector = collectors.get(which);
        return collector == null ? List.of() : List.of(collector);
    }

    /** Sends the reports of this domain to the other collectors, and all reports to the hosts of this domain. */
    private void passOn(HostReport own) {
        ownDomain.put(self, new ReportBundle.Item(self, incarnation.getAsLong(), own));
        List<String> otherCollectors =
                collectors.values().stream().filter(host -> !host.equals(self)).toList();
        List<ReportBundle.Item> ofDomain = List.copyOf(ownDomain.values());
        if (!otherCollectors.isEmpty()) {
            sender.send(otherCollectors, new ReportBundle(ofDomain));
        }
        if (!mates.isEmpty()) {
            List<ReportBundle.Item> all = new ArrayList<>(ofDomain);
            all.addAll(otherDomains.values());
            sender.send(mates, new ReportBundle(all));
        }
        ownDomain.clear();
        otherDomains.clear();
    }

    /** Handles a report or a bundle of reports from another host; messages of other types are ignored. */
    public synchronized void receive(String from, long senderIncarnation, PeerMessage message) {
        if (message instanceof HostReport report) {
            store(from, senderIncarnation, report);
            if (isCollector() && domainOf(from).equals(domain)) {
                ownDomain.put(from, new ReportBundle.Item(from, senderIncarnation, report));
            }
        } else if (message instanceof ReportBundle bundle) {
            boolean fromOwnDomain = domainOf(from).equals(domain);
            if (fromOwnDomain) {
                heardCollectorNanos = time.nanos();
            }
            Consumer<ReportBundle.Item> passOn =
                    isCollector() && !fromOwnDomain ? item -> otherDomains.put(item.host(), item) : item -> {};
            for (ReportBundle.Item item : bundle.items()) {
                if (!item.host().equals(self)) {
                    store(item.host(), item.incarnation(), item.report());
                    passOn.accept(item);
                }
            }
        }
    }

    private void store(String host, long hostIncarnation, HostReport report) {
        String region = view.member(host).map(member -> member.host().region()).orElse("");
        reports.receive(host, region, hostIncarnation, report);
    }

    private String domainOf(String host) {
        return view.member(host).map(member -> member.host().domain()).orElse("");
    }
}
