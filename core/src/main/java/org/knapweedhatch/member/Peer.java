package org.knapweedhatch.member;

import org.knapweedhatch.world.Host;

/** The mutable record that this host keeps of another one. Clock readings are monotonic, in nanoseconds. */
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

    /** Returns when it was last heard, directly or through reports of others. */
    long heardNanos() {
        return Math.max(heardDirectlyNanos, reportedNanos);
    }

    boolean heardDirectly(long nowNanos) {
        return !saidGoodbye && nowNanos - heardDirectlyNanos < Timing.HEARTBEAT_TIMEOUT;
    }

    boolean heard(long nowNanos) {
        return !saidGoodbye && nowNanos - heardNanos() < Timing.HEARTBEAT_TIMEOUT;
    }

    /** Records when another host of its failure domain was last heard; after a gap, the domain counts as returned. */
    void recordDomainHeard(long nanos) {
        if (nanos - domainHeardNanos > Timing.DOMAIN_GAP) {
            domainReturnedNanos = nanos;
        }
        domainHeardNanos = nanos;
    }

    /** Resets the record for a later process under the same name. */
    void resetForProcess(long newIncarnation) {
        incarnation = newIncarnation;
        leaving = false;
        saidGoodbye = false;
        heardDirectlyNanos = Timing.NEVER;
        reportedNanos = Timing.NEVER;
    }

    /** Excludes a pause of this process, during which it could hear nobody, from the time since the last message. */
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
