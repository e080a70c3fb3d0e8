package org.knapweedhatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.world.Address;

/**
 * What one host says of itself.
 *
 * @param edge address that was asked
 * @param host name of the host; empty where it did not answer
 * @param region its region
 * @param domain its failure domain
 * @param configuration number of the configuration it has in force
 * @param drain its drain state
 * @param inFlight requests that run
 * @param fault why it did not answer; empty where it did
 */
record HostStatus(
        String edge,
        String host,
        String region,
        String domain,
        long configuration,
        String drain,
        int inFlight,
        String fault) {

    /** Asks each host, one after the other. */
    static List<HostStatus> ask(Session session, List<Address> hosts) {
        List<HostStatus> all = new ArrayList<>();
        for (Address host : hosts) {
            Result<JsonNode> status = session.ask(host, "/-/status");
            all.add(
                    status.isOk()
                            ? of(host, status.orThrow())
                            : silent(host, status.fault().message()));
        }
        return all;
    }

    private static HostStatus of(Address edge, JsonNode status) {
        return new HostStatus(
                edge.toString(),
                status.path("host").asText(),
                status.path("region").asText(),
                status.path("domain").asText(),
                status.path("configuration").asLong(),
                Optional.ofNullable(status.get("drain")).map(JsonNode::asText).orElse("-"),
                status.path("inFlight").asInt(),
                "");
    }

    private static HostStatus silent(Address edge, String fault) {
        return new HostStatus(edge.toString(), "", "", "", 0, "", 0, fault);
    }

    boolean answered() {
        return fault.isEmpty();
    }

    String line() {
        return answered()
                ? String.format(
                        "%-21s %-18s %-12s %-14s %6d  %-10s %d",
                        edge, host, region, domain, configuration, drain, inFlight)
                : String.format("%-21s no answer: %s", edge, fault);
    }

    static String heading() {
        return String.format(
                "%-21s %-18s %-12s %-14s %6s  %-10s %s",
                "EDGE", "HOST", "REGION", "DOMAIN", "CONFIG", "DRAIN", "IN FLIGHT");
    }
}
