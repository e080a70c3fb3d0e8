package org.knapweedhatch.world;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import org.knapweedhatch.helper.Validate;

/**
 * An IP address and a TCP port. Host names are not accepted, so no name resolution takes place.
 *
 * @param ip the IP address as text; an IPv6 address is in square brackets
 * @param port the TCP port
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";

    /** An IPv4 address, or something in brackets that only IPv6 has; nothing that would be looked up as a host name. */
    private static final Pattern IP = Pattern.compile("(?:" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]+]");

    public Address {
        Validate.notEmpty(ip, "ip");
        Validate.isTrue(port > 0 && port <= MAX_PORT, "port out of range: %d", port);
    }

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        Validate.isTrue(colon > 0, "address must have the form ip:port: %s", text);
        String ip = text.substring(0, colon);
        Validate.isTrue(IP.matcher(ip).matches(), "not an IP address: %s", ip);
        try {
            return new Address(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a port number: " + text, e);
        }
    }

    /** Returns this address as a socket address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
