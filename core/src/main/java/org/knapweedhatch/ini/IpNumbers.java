package org.knapweedhatch.ini;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** IP numbers and blocks of them in their one canonical text; no name is ever resolved. */
public final class IpNumbers {

    private static final Pattern V4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)");
    private static final Pattern V6 = Pattern.compile("[0-9a-fA-F:]{2,39}");
    private static final Pattern LENGTH = Pattern.compile("0|[1-9]\\d{0,2}");

    private IpNumbers() {}

    /** Returns whether a text is an IPv4 number, or an IPv6 number with or without brackets. */
    public static boolean isAddress(String text) {
        boolean bracketed = text.startsWith("[") && text.endsWith("]");
        return bytes(bracketed ? text.substring(1, text.length() - 1) : text).isPresent();
    }

    /** Returns a CIDR block in canonical text; empty where it is malformed or has bits below its prefix. */
    public static Optional<String> block(String cidr) {
        int slash = cidr.indexOf('/');
        if (slash < 0 || !LENGTH.matcher(cidr.substring(slash + 1)).matches()) {
            return Optional.empty();
        }
        int length = Integer.parseInt(cidr.substring(slash + 1));
        return bytes(cidr.substring(0, slash))
                .filter(b -> length <= b.length * Byte.SIZE && zeroFrom(b, length))
                .map(b -> text(b) + "/" + length);
    }

    private static Optional<byte[]> bytes(String text) {
        boolean v4 = V4.matcher(text).matches();
        boolean v6 = !v4 && text.indexOf(':') >= 0 && V6.matcher(text).matches();
        if (!v4 && !v6) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(text).getAddress());
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    private static boolean zeroFrom(byte[] bytes, int bit) {
        for (int i = bit; i < bytes.length * Byte.SIZE; i++) {
            if ((bytes[i / Byte.SIZE] >> (Byte.SIZE - 1 - i % Byte.SIZE) & 1) != 0) {
                return false;
            }
        }
        return true;
    }

    private static String text(byte[] bytes) {
        try {
            return InetAddress.getByAddress(bytes).getHostAddress();
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IP number has 4 or 16 bytes", e);
        }
    }
}
