package org.knapweedhatch.ini;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** IP numbers and blocks of them in their one canonical text; no name is ever resolved. */
public final class IpNumbers {

    private static final int V4_BYTES = 4;
    private static final int MAX_BYTE = 255;
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
        if (text.indexOf(':') < 0) {
            return v4(text);
        }
        if (!V6.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(text).getAddress());
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Reads four decimal bytes without leading zeros, divided by dots. */
    private static Optional<byte[]> v4(String text) {
        byte[] bytes = new byte[V4_BYTES];
        int start = 0;
        for (int i = 0; i < V4_BYTES; i++) {
            int end = i == V4_BYTES - 1 ? text.length() : text.indexOf('.', start);
            int value = end < 0 ? -1 : decimalByte(text, start, end);
            if (value < 0) {
                return Optional.empty();
            }
            bytes[i] = (byte) value;
            start = end + 1;
        }
        return Optional.of(bytes);
    }

    /** Returns the value of a decimal number from 0 to 255, or -1 where the text is none. */
    private static int decimalByte(String text, int start, int end) {
        int digits = end - start;
        if (digits < 1 || digits > 3 || (digits > 1 && text.charAt(start) == '0')) {
            return -1;
        }
        int value = 0;
        for (int i = start; i < end; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = value * 10 + (c - '0');
        }
        return value <= MAX_BYTE ? value : -1;
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
