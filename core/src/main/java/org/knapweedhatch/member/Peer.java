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
    boolean saidGoodbye;
    long heardDirectlyNanos = Timing.NEVER;
    long reportedNanos = Timing.NEVER;
    long domainReturnedNanos = Timing.NEVER;
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
        return Math.max(heardDirectlyNanos, reportedNanos);
    }

    boolean heardDirectly(long nowNanos) {
        return !saidGoodbye && nowNanos - heardDirectlyNanos < Timing.HEARTBEAT_TIMEOUT;
    }

    boolean heard(long nowNanos) {
        return !saidGoodbye && nowNanos - heardNanos() < Timing.HEARTBEAT_TIMEOUT;
    }

    /** Notes when another host of its domain was last heard, and whether the domain was unheard before that. */
    void recordDomainHeard(long nanos) {
        if (nanos - domainHeardNanos > Timing.DOMAIN_GAP) {
            domainReturnedNanos = nanos;
        }
        domainHeardNanos = nanos;
    }

    /** Makes room for a later process at the same name. */
    void resetForProcess(long newIncarnation) {
        incarnation = newIncarnation;
        leaving = false;
        saidGoodbye = false;
        heardDirectlyNanos = Timing.NEVER;
        reportedNanos = Timing.NEVER;
    }

    /** Takes the time out during which this process was paused and could hear nobody. */
    void excludePause(long pauseNanos, long nowNanos) {
        heardDirectlyNanos = Timing.shiftedByPause(heardDirectlyNanos, pauseNanos, nowNanos);
        reportedNanos = Timing.shiftedByPause(reportedNanos, pauseNanos, nowNanos);
    }

    Member member() {
        return new Member(host, incarnation, state, configuration, load);
    }

    MemberRow row() {
        return new MemberRow(host, incarnation, state);
    }
}
