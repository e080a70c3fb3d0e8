package org.knapweedhatch.steer;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.ClientBlock;

/**
 * Immutable longest-prefix-match table from client address blocks to their nearest regions.
 *
 * <p>IPv6 prefixes have at most 64 bits, because a caller controls the last 64 bits of its addresses.
 *
 * <pre>{@code
 * ClientTable table = ClientTable.of(configuration.blocks().values());
 * Optional<String> region = table.region("10.1.2.3");
 * }</pre>
 */
public final class ClientTable {

    private static final int IPV4_BITS = 32;
    private static final int IPV6_BITS = 64;

    private final PrefixTable ipv4;
    private final PrefixTable ipv6;
    private final List<String> regions;

    private ClientTable(PrefixTable ipv4, PrefixTable ipv6, List<String> regions) {
        this.ipv4 = ipv4;
        this.ipv6 = ipv6;
        this.regions = regions;
    }

    /**
     * Creates a table; of two equal blocks the later wins. Throws {@link IllegalArgumentException} on a malformed
     * block.
     */
    public static ClientTable of(Collection<ClientBlock> blocks) {
        return new ClientTable(PrefixTable.empty(), PrefixTable.empty(), List.of()).with(blocks, List.of());
    }

    /** Returns a copy of this table with some blocks added or replaced and others removed. */
    public ClientTable with(Collection<ClientBlock> changed, Collection<String> withdrawnCidrs) {
        List<String> names = new ArrayList<>(regions);
        List<PrefixTable.Prefix> changes4 = new ArrayList<>();
        List<PrefixTable.Prefix> changes6 = new ArrayList<>();
        for (String cidr : withdrawnCidrs) {
            add(cidr, PrefixTable.NONE, changes4, changes6);
        }
        for (ClientBlock block : changed) {
            add(block.cidr(), regionIndex(names, block.region()), changes4, changes6);
        }
        return new ClientTable(
                ipv4.with(changes4.toArray(PrefixTable.Prefix[]::new)),
                ipv6.with(changes6.toArray(PrefixTable.Prefix[]::new)),
                List.copyOf(names));
    }

    private static short regionIndex(List<String> names, String region) {
        int index = names.indexOf(region);
        if (index < 0) {
            Validate.isTrue(names.size() < Short.MAX_VALUE, "too many regions in the client table: %d", names.size());
            names.add(region);
            index = names.size() - 1;
        }
        return (short) index;
    }

    private static void add(
            String cidr, short value, List<PrefixTable.Prefix> changes4, List<PrefixTable.Prefix> changes6) {
        int slash = cidr.indexOf('/');
        byte[] address = parseAddress(cidr.substring(0, slash));
        int length = Integer.parseInt(cidr.substring(slash + 1));
        boolean isIpv4 = address.length == Integer.BYTES;
        int bits = isIpv4 ? IPV4_BITS : IPV6_BITS;
        Validate.isTrue(length <= bits, "prefix length of a client block must be at most %d: %s", bits, cidr);
        long mask = length == 0 ? 0 : -1L << (IPV6_BITS - length);
        PrefixTable.Prefix prefix = new PrefixTable.Prefix(addressBits(address) & mask, (byte) length, value);
        (isIpv4 ? changes4 : changes6).add(prefix);
    }

    /** Returns the number of blocks. */
    public int size() {
        return ipv4.size() + ipv6.size();
    }

    /** Returns the region of the longest block that contains a numeric IP address; empty if no block does. */
    public Optional<String> region(String ip) {
        return region(parseAddress(ip));
    }

    /** Returns the region of the longest block that contains an address of 4 or 16 bytes; empty if no block does. */
    public Optional<String> region(byte[] address) {
        short found = address.length == Integer.BYTES
                ? ipv4.longestMatch(addressBits(address))
                : ipv6.longestMatch(addressBits(address));
        return found == PrefixTable.NONE ? Optional.empty() : Optional.of(regions.get(found));
    }

    private static byte[] parseAddress(String ip) {
        Validate.isTrue(ip.matches("[0-9.]{7,15}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*"), "not an IP number: %s", ip);
        try {
            return InetAddress.getByName(ip).getAddress();
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP number: " + ip, e);
        }
    }

    private static long addressBits(byte[] address) {
        long key = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            key = (key << Byte.SIZE) | (i < address.length ? address[i] & 0xff : 0);
        }
        return key;
    }
}
