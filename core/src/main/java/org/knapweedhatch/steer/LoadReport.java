package org.knapweedhatch.steer;

import java.util.List;
import org.knapweedhatch.message.PeerMessage;

/**
 * Load report that a host sends to other hosts; only a hint, because it is outdated when it arrives.
 *
 * @param services one entry for each service of the host
 */
public record LoadReport(List<ServiceLoad> services) implements PeerMessage {

    public LoadReport {
        services = List.copyOf(services);
    }

    /**
     * The load of one service.
     *
     * @param service name of the service
     * @param capacity number of requests that may run concurrently
     * @param free number of requests that could start now, negative if requests are queued beyond that
     * @param waitNanos forecast wait of a new request in nanoseconds
     */
    public record ServiceLoad(String service, int capacity, int free, long waitNanos) {}
}
