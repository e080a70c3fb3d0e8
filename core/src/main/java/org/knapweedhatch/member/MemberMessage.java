package org.knapweedhatch.member;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.world.Host;

/** What hosts tell each other about themselves and about third hosts. */
public sealed interface MemberMessage extends PeerMessage {

    /**
     * A host's word that it lives, sent to every host of its region.
     *
     * @param incarnation number of the process
     * @param configuration number of the configuration in force
     * @param load load summary
     * @param leaving whether the host drains
     * @param digests digests of other regions that the sender relays
     */
    record Heartbeat(long incarnation, long configuration, Load load, boolean leaving, List<Digest> digests)
            implements MemberMessage {
        public Heartbeat {
            Validate.notNull(load, "load");
            digests = List.copyOf(digests);
        }
    }

    /**
     * A heartbeat to a host that may not know the sender yet.
     *
     * @param host the sender
     * @param heartbeat its heartbeat
     * @param answer whether the receiver is asked to introduce itself
     */
    record Introduction(Host host, Heartbeat heartbeat, boolean replyRequested) implements MemberMessage {
        public Introduction {
            Validate.notNull(host, "host");
            Validate.notNull(heartbeat, "heartbeat");
        }
    }

    /** The digest of the sender's region, sent to a host of another region. */
    record RegionDigest(Host sender, long incarnation, Digest digest) implements MemberMessage {
        public RegionDigest {
            Validate.notNull(sender, "sender");
            Validate.notNull(digest, "digest");
        }
    }

    /** Asks for the whole table of a region as the receiver would send it. */
    record TableRequest(String region) implements MemberMessage {}

    /** The whole table of a region. */
    record Table(Digest digest) implements MemberMessage {}

    /** Asks which of some hosts the receiver hears. */
    record Probe(List<String> names) implements MemberMessage {
        public Probe {
            names = List.copyOf(names);
        }
    }

    /** Answers a probe with the hosts that the sender hears. */
    record ProbeReply(List<Sighting> sightings) implements MemberMessage {
        public ProbeReply {
            sightings = List.copyOf(sightings);
        }
    }

    /** Tells a process that a later one has been seen at its name. */
    record Superseded(long incarnation) implements MemberMessage {}

    /** The last message of a process that ends. */
    record Goodbye(long incarnation) implements MemberMessage {}
}
