package org.knapweedhatch.member;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/** The member that this process is, and the messages in which it describes itself. */
final class LocalMember {

    /** Heartbeats of which one carries the capacity, for hosts that know this one from an earlier process only. */
    private static final int HEARTBEATS_PER_CAPACITY = 10;

    private final Host host;
    private final LongSupplier configuration;
    private final Supplier<Load> load;
    private long incarnation;
    private boolean leaving;
    private boolean superseded;
    private long heartbeats;

    LocalMember(Host host, long incarnation, LongSupplier configuration, Supplier<Load> load) {
        this.host = host;
        this.incarnation = incarnation;
        this.configuration = configuration;
        this.load = load;
    }

    Host host() {
        return host;
    }

    String name() {
        return host.name();
    }

    String region() {
        return host.region();
    }

    long incarnation() {
        return incarnation;
    }

    void setIncarnation(long higherIncarnation) {
        incarnation = higherIncarnation;
    }

    long configuration() {
        return configuration.getAsLong();
    }

    Load load() {
        return load.get();
    }

    boolean leaving() {
        return leaving;
    }

    /** Marks this process as draining; returns whether it was not draining before. */
    boolean leave() {
        boolean first = !leaving;
        leaving = true;
        return first;
    }

    boolean superseded() {
        return superseded;
    }

    void supersede() {
        superseded = true;
    }

    private MemberState state() {
        if (superseded) {
            return MemberState.SILENT;
        }
        return leaving ? MemberState.LEAVING : MemberState.ALIVE;
    }

    Member member() {
        return new Member(host, incarnation, state(), configuration(), load());
    }

    MemberRow row() {
        return new MemberRow(host, incarnation, state());
    }

    /** Returns the next heartbeat to the hosts of the region. */
    MemberMessage.Heartbeat heartbeat(List<Digest> relayed) {
        boolean withCapacity = heartbeats++ % HEARTBEATS_PER_CAPACITY == 0;
        return heartbeat(relayed, withCapacity ? host.capacity() : HostCapacity.UNKNOWN);
    }

    private MemberMessage.Heartbeat heartbeat(List<Digest> relayed, HostCapacity capacity) {
        return new MemberMessage.Heartbeat(incarnation, configuration(), load(), leaving, relayed, capacity);
    }

    MemberMessage.Introduction introduction(boolean answer) {
        return new MemberMessage.Introduction(host, heartbeat(List.of(), HostCapacity.UNKNOWN), answer);
    }
}
