package org.knapweedhatch.steer;

import java.util.List;
import org.knapweedhatch.message.PeerMessage;

/**
 * What a host could take on, by its own live counts; old as soon as it is sent.
 *
 * @param services one entry for each service that the host owns targets of
 */
public record LoadReport(List<ServiceLoad> services) implements PeerMessage {

    public LoadReport {
        services = List.copyOf(services);
    }

    /**
     * The load of one service.
     *
     * @param service name of the service
     * @param capacity requests that may run at once
     * @param free requests that could start now
     * @param waitNanos forecast wait of a new request
     */
    public record ServiceLoad(String service, int capacity, int free, long waitNanos) {}
}
