package org.knapweedhatch.report;

import java.util.List;
import java.util.Map;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.StoreVersion;

/**
 * Load report that a host sends to all others several times a second. Map keys are hashes of names.
 *
 * @param sequence sequence number of the report, which increases within a process
 * @param inFlight requests in flight by target
 * @param teamDemand requests per second that arrive at the host, by team
 * @param teamSpent requests counted against the rate limit of these teams at the host since the process started
 * @param serviceDemand requests per second that arrive at the host, by service
 * @param storeVersions version of the store up to which the host knows each kind of object, in a fixed order of kinds
 */
public record HostReport(
        long sequence,
        Map<Integer, Integer> inFlight,
        Map<Integer, Double> teamDemand,
        Map<Integer, Long> teamSpent,
        Map<Integer, Double> serviceDemand,
        List<StoreVersion> storeVersions)
        implements PeerMessage {

    /** Encoded bytes of a message with its frame and the TCP/IP header, without entries. */
    private static final int BASE_BYTES = 130;

    private static final int TARGET_BYTES = 5;
    private static final int TEAM_BYTES = 11;
    private static final int SERVICE_BYTES = 8;

    /** Copies the collections. */
    public HostReport {
        inFlight = Map.copyOf(inFlight);
        teamDemand = Map.copyOf(teamDemand);
        teamSpent = Map.copyOf(teamSpent);
        serviceDemand = Map.copyOf(serviceDemand);
        storeVersions = List.copyOf(storeVersions);
    }

    /** Returns the requests per second that arrive at the host, over all services. */
    public double totalDemand() {
        return serviceDemand.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns about how many bytes the report takes on the network; rather too many than too few. */
    public int networkBytes() {
        return BASE_BYTES
                + TARGET_BYTES * inFlight.size()
                + TEAM_BYTES * teamDemand.size()
                + SERVICE_BYTES * serviceDemand.size();
    }
}
