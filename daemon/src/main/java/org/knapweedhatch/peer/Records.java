package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.AddressRecord;
import org.knapweedhatch.peer.proto.CapacityRecord;
import org.knapweedhatch.peer.proto.HostRecord;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/** The protobuf forms of hosts and addresses, shared by the codecs. */
public final class Records {

    private static final int IPV6_BYTES = 16;

    private Records() {}

    /** Returns the value of an enumeration at a position, or throws {@link IllegalArgumentException}. */
    static <E> E oneOf(E[] values, int position) {
        Validate.isTrue(position >= 0 && position < values.length, "no value at position %d", position);
        return values[position];
    }

    /** Returns the record of a host. */
    public static HostRecord host(Host host) {
        HostRecord.Builder record = HostRecord.newBuilder()
                .setName(host.name())
                .setRegion(host.region())
                .setDomain(host.domain())
                .setEdge(address(host.edge()))
                .setPeer(address(host.peer()));
        capacity(host.capacity()).ifPresent(record::setCapacity);
        return record.build();
    }

    /** Returns the host of a record, or throws {@link IllegalArgumentException}. */
    public static Host host(HostRecord record) {
        return host(record, record.getRegion());
    }

    /** Returns the host of a record that leaves out the region. */
    static Host host(HostRecord record, String region) {
        return new Host(
                record.getName(),
                region,
                record.getDomain(),
                address(record.getEdge()),
                address(record.getPeer()),
                capacity(record.getCapacity()));
    }

    /** Returns the record of a capacity; empty if nothing is stated. */
    static Optional<CapacityRecord> capacity(HostCapacity capacity) {
        if (capacity.equals(HostCapacity.UNKNOWN)) {
            return Optional.empty();
        }
        return Optional.of(CapacityRecord.newBuilder()
                .setMilliCores(capacity.milliCores())
                .setMemoryMb(capacity.memoryMb())
                .setLinkKbps(capacity.linkKbps())
                .build());
    }

    /** Returns the capacity of a record, or throws {@link IllegalArgumentException}. */
    static HostCapacity capacity(CapacityRecord record) {
        return new HostCapacity(record.getMilliCores(), record.getMemoryMb(), record.getLinkKbps());
    }

    private static AddressRecord address(Address address) {
        return AddressRecord.newBuilder()
                .setIp(ByteString.copyFrom(address.socketAddress().getAddress().getAddress()))
                .setPort(address.port())
                .build();
    }

    private static Address address(AddressRecord record) {
        try {
            InetAddress ip = InetAddress.getByAddress(record.getIp().toByteArray());
            boolean six = record.getIp().size() == IPV6_BYTES;
            String text = six ? "[" + ip.getHostAddress() + "]" : ip.getHostAddress();
            return new Address(text, record.getPort());
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP number of 4 or 16 bytes", e);
        }
    }
}
