package org.knapweedhatch.member;

import org.knapweedhatch.world.Host;

/** What this host remembers of another one. */
final class Peer {

    Host host;
    long incarnation;
    MemberState state = MemberState.CUT_OFF;
    long configuration;
    Load load = Load.NONE;
    boolean leaving;
    boolean gone;
    long directNanos = Timing.NEVER;
    long reportedNanos = Timing.NEVER;
    long domainBackNanos = Timing.NEVER;
    private long domainHeardNanos = Timing.NEVER;
    long stateSinceNanos;

    Peer(Host host, long nowNanos) {
        this.host = host;
        this.stateSinceNanos = nowNanos;
    }

    String name() {
        return host.name();
    }

    String domain() {
        return host.domain();
    }

    /** Returns when it was last heard, directly or through others. */
    long heardNanos() {
        return Math.max(directNanos, reportedNanos);
    }

    boolean heardDirectly(long nowNanos) {
        return !gone && nowNanos - directNanos < Timing.HEARTBEAT_TIMEOUT;
    }

    boolean heard(long nowNanos) {
        return !gone && nowNanos - heardNanos() < Timing.HEARTBEAT_TIMEOUT;
    }

    /** Notes when another host of its domain was last heard, and whether the domain was unheard before that. */
    void domainHeard(long nanos) {
        if (nanos - domainHeardNanos > Timing.DOMAIN_GAP) {
            domainBackNanos = nanos;
        }
        domainHeardNanos = nanos;
    }

    /** Makes room for a later process at the same name. */
    void restarted(long newIncarnation) {
        incarnation = newIncarnation;
        leaving = false;
        gone = false;
        directNanos = Timing.NEVER;
        reportedNanos = Timing.NEVER;
    }

    /** Takes the time out during which this process was paused and could hear nobody. */
    void forgive(long pauseNanos, long nowNanos) {
        directNanos = Timing.forgiven(directNanos, pauseNanos, nowNanos);
        reportedNanos = Timing.forgiven(reportedNanos, pauseNanos, nowNanos);
    }

    Member member() {
        return new Member(host, incarnation, state, configuration, load);
    }

    Row row() {
        return new Row(host, incarnation, state);
    }
}
