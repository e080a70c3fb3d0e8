package org.knapweedhatch.world;

import java.net.InetSocketAddress;
import org.knapweedhatch.helper.Validate;

/**
 * An IP number and a port; names are never resolved.
 *
 * @param ip the IP number as text
 * @param port the TCP port
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public Address {
        Validate.notEmpty(ip, "ip");
        Validate.isTrue(port > 0 && port <= MAX_PORT, "port out of range: %d", port);
    }

    /** Parses {@code ip:port}; throws {@link IllegalArgumentException} where the text has another form. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        Validate.isTrue(colon > 0, "an address has the form ip:port: %s", text);
        String ip = text.substring(0, colon);
        Validate.isTrue(ip.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]"), "not an IP number: %s", ip);
        try {
            return new Address(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a port: " + text, e);
        }
    }

    /** Returns the socket address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
