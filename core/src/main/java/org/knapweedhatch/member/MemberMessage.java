package org.knapweedhatch.member;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/** The messages of the membership protocol. */
public sealed interface MemberMessage extends PeerMessage {

    /**
     * Periodic heartbeat to every host of the sender's region.
     *
     * @param incarnation incarnation of the sender's process
     * @param configuration number of the configuration in force on the sender
     * @param load load of the sender
     * @param leaving whether the sender drains
     * @param digests digests of other regions that the sender relays
     * @param capacity capacity of the sender; unknown where this heartbeat leaves it out
     */
    record Heartbeat(
            long incarnation,
            long configuration,
            Load load,
            boolean leaving,
            List<Digest> digests,
            HostCapacity capacity)
            implements MemberMessage {
        public Heartbeat {
            Validate.notNull(load, "load");
            digests = List.copyOf(digests);
            Validate.notNull(capacity, "capacity");
        }
    }

    /**
     * A heartbeat with the sender's addresses, for a host that may not know the sender.
     *
     * @param host the sender
     * @param heartbeat the sender's heartbeat
     * @param replyRequested whether the receiver should reply with its own introduction
     */
    record Introduction(Host host, Heartbeat heartbeat, boolean replyRequested) implements MemberMessage {
        public Introduction {
            Validate.notNull(host, "host");
            Validate.notNull(heartbeat, "heartbeat");
        }
    }

    /** The digest of the sender's own region, sent to a host of another region. */
    record RegionDigest(Host sender, long incarnation, Digest digest) implements MemberMessage {
        public RegionDigest {
            Validate.notNull(sender, "sender");
            Validate.notNull(digest, "digest");
        }
    }

    /** Requests the receiver's whole table of a region. */
    record TableRequest(String region) implements MemberMessage {}

    /** The sender's whole table of a region. */
    record Table(Digest digest) implements MemberMessage {}

    /** Asks the receiver which of the named hosts it hears. */
    record Probe(List<String> names) implements MemberMessage {
        public Probe {
            names = List.copyOf(names);
        }
    }

    /** Reply to a probe: the probed hosts that the sender hears. */
    record ProbeReply(List<Sighting> sightings) implements MemberMessage {
        public ProbeReply {
            sightings = List.copyOf(sightings);
        }
    }

    /** Tells a process that a later process with the given incarnation runs under its name. */
    record Superseded(long incarnation) implements MemberMessage {}

    /** The last message of a process that shuts down. */
    record Goodbye(long incarnation) implements MemberMessage {}
}
