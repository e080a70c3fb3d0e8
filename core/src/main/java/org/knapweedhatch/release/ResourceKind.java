package org.knapweedhatch.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.world.Configuration;

/** The kinds of resources that a release note declares, in the order of the canonical text. */
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

    /** Returns the keyword of this kind in release notes. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with a keyword; empty if there is none. */
    public static Optional<ResourceKind> of(String keyword) {
        for (ResourceKind kind : values()) {
            if (kind.keyword().equals(keyword)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the resources of this kind in a configuration, by name. */
    public Map<String, ? extends Record> resourcesIn(Configuration configuration) {
        return codec.resources().apply(configuration);
    }

    /** Returns the fields of a resource as a release note writes them. */
    public Map<String, String> fieldsOf(Record resource) {
        return codec.fieldsOf(resource);
    }

    /** Parses the resources that a section declares; faults are added to {@code fields}. */
    List<? extends Record> read(String name, Fields fields) {
        return codec.readOrReportFault(name, fields);
    }

    String nameOf(Record resource) {
        return codec.nameOfRecord(resource);
    }

    List<ResourceReference> references(Record resource) {
        return codec.referencesOf(resource);
    }

    void put(Configuration.Builder builder, Record resource) {
        codec.putRecord(builder, resource);
    }

    void remove(Configuration.Builder builder, Record resource) {
        codec.removeRecord(builder, resource);
    }
}
