package org.knapweedhatch.front;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.hedge.HedgeSettings;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.quota.RateDecision;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.world.Configuration;

/** The services of a host that the proxy uses to handle requests; called on the event loop of the proxy. */
public interface FrontContext {

    /** Returns the time source. */
    TimeSource time();

    /** Returns the event log. */
    EventLog log();

    /** Returns the metrics of requests. */
    RequestMetrics requestMetrics();

    /** Returns how many connections the host may keep open. */
    ConnectionLimits connectionLimits();

    /** Returns how many bytes requests and responses may hold in memory together. */
    long bufferMemory();

    /** Returns the names of the headers that the system defines. */
    HeaderScheme headerScheme();

    /** Returns the configuration in force; number 0 before the first one. */
    Configuration configuration();

    /** Returns the keys of the configuration in force. */
    KeyRing keys();

    /** Returns the load balancer that picks targets. */
    Placer placer();

    /** Returns whether requests wait at the host while no target that would answer on time has a free slot. */
    boolean queuesRequests();

    /** Returns the operator's limit on second attempts of requests that may be repeated. */
    HedgeSettings hedging();

    /** Takes one request from a team's rate limit; complete on return unless another host decides. */
    CompletableFuture<RateDecision> acquireRate(String team);

    /** Returns one request to a team's rate limit, as it was not sent to any target. */
    void refundRate(String team, RateDecision.Granted granted);

    /** Called when a target answers again after it could not be reached. */
    void targetReachable(String target);

    /** Takes one retry from a service's retry budget; returns false if the budget is used up. */
    boolean acquireRetry(String service);

    /** Counts the first attempt of a request to a service, which adds to its retry budget. */
    void countFirstAttempt(String service);

    /** Returns the planned stop in progress; empty while the host serves. */
    Optional<StopSchedule> stop();
}
