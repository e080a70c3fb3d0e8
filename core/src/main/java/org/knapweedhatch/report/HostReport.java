package org.knapweedhatch.report;

import java.util.List;
import java.util.Map;
import org.knapweedhatch.message.PeerMessage;

/**
 * What one host carries, sent to the others several times a second; names go as their hashes.
 *
 * @param sequence number of the report; later ones of a process are higher
 * @param uses requests in progress by target
 * @param teamDemand requests per second that arrive here by team
 * @param teamSpent requests that each of these teams has spent of its rate here since the process began
 * @param serviceDemand requests per second that arrive here by service
 * @param held versions of the store up to which the host knows each kind of object, in a fixed order
 */
public record HostReport(
        long sequence,
        Map<Integer, Integer> inFlight,
        Map<Integer, Double> teamDemand,
        Map<Integer, Long> teamSpent,
        Map<Integer, Double> serviceDemand,
        List<Long> storeVersions)
        implements PeerMessage {

    /** Copies the collections. */
    public HostReport {
        inFlight = Map.copyOf(inFlight);
        teamDemand = Map.copyOf(teamDemand);
        teamSpent = Map.copyOf(teamSpent);
        serviceDemand = Map.copyOf(serviceDemand);
        storeVersions = List.copyOf(storeVersions);
    }
}
