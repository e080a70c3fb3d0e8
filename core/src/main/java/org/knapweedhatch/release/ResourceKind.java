package org.knapweedhatch.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.world.Configuration;

/** The kinds of things that a release note declares, in the order of the canonical text. */
public enum ResourceKind {
    REGION(ResourceCodec.region()),
    DOMAIN(ResourceCodec.domain()),
    SERVICE(ResourceCodec.service()),
    ROUTE(ResourceCodec.route()),
    TARGET(ResourceCodec.target()),
    TEAM(ResourceCodec.team()),
    KEY(ResourceCodec.key()),
    LINK(ResourceCodec.link()),
    SHIFT(ResourceCodec.shift()),
    DRAIN(ResourceCodec.drain()),
    BLOCKS(ResourceCodec.blocks());

    private final ResourceCodec<?> codec;

    ResourceKind(ResourceCodec<?> form) {
        this.codec = form;
    }

    /** Returns the kind as a release note writes it. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind that a release note writes as {@code word}. */
    public static Optional<ResourceKind> of(String word) {
        for (ResourceKind kind : values()) {
            if (kind.keyword().equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the things of this kind by name. */
    public Map<String, ? extends Record> resourcesIn(Configuration configuration) {
        return codec.resources().apply(configuration);
    }

    /** Returns the fields of a thing as a release note would write them. */
    public Map<String, String> fieldsOf(Record thing) {
        return codec.fieldsOf(thing);
    }

    /** Reads the things that a section declares; faults go to the reader of the fields. */
    List<? extends Record> read(String name, Fields fields) {
        return codec.readOrReportFault(name, fields);
    }

    String nameOf(Record thing) {
        return codec.nameOfRecord(thing);
    }

    List<ResourceReference> references(Record thing) {
        return codec.referencesOf(thing);
    }

    void put(Configuration.Builder builder, Record thing) {
        codec.putRecord(builder, thing);
    }

    void remove(Configuration.Builder builder, Record thing) {
        codec.removeRecord(builder, thing);
    }
}
