package org.knapweedhatch.front;

import java.util.Optional;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.quota.RateSpent;
import org.knapweedhatch.world.Configuration;

/** What requests need of their host. */
public interface FrontContext {

    /** Returns the clock. */
    TimeSource time();

    /** Returns the log. */
    EventLog log();

    /** Returns the meters of requests. */
    RequestMetrics requestMetrics();

    /** Returns how many connections the host keeps. */
    ConnectionLimits connectionLimits();

    /** Returns the names of headers. */
    HeaderScheme headerScheme();

    /** Returns the configuration in force; number 0 before the first one. */
    Configuration configuration();

    /** Returns the keys of the configuration in force. */
    KeyRing keys();

    /** Returns the choice of targets. */
    Placer placer();

    /** Takes one request out of a team's rate; returns why not where it is spent. */
    Optional<RateSpent> acquireRate(String team);

    /** Gives a request of a team back that was not sent to a target. */
    void refundRate(String team);

    /** Notes that a target answers again after it could not be reached. */
    void targetReachable(String target);

    /** Takes one retry out of a service's budget; returns false where it is spent. */
    boolean acquireRetry(String service);

    /** Counts a request that is sent to a service for the first time. */
    void countFirstAttempt(String service);

    /** Returns whether the host is about to stop, so that connections are given back. */
    boolean draining();
}
