package org.knapweedhatch.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.world.Configuration;

/** The kinds of things that a release note declares, in the order of the canonical text. */
public enum Kind {
    REGION(Form.region()),
    DOMAIN(Form.domain()),
    SERVICE(Form.service()),
    ROUTE(Form.route()),
    TARGET(Form.target()),
    TEAM(Form.team()),
    KEY(Form.key()),
    LINK(Form.link()),
    SHIFT(Form.shift()),
    DRAIN(Form.drain()),
    BLOCKS(Form.blocks());

    private final Form<?> form;

    Kind(Form<?> form) {
        this.form = form;
    }

    /** Returns the kind as a release note writes it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind that a release note writes as {@code word}. */
    public static Optional<Kind> of(String word) {
        for (Kind kind : values()) {
            if (kind.word().equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the things of this kind by name. */
    public Map<String, ? extends Record> in(Configuration configuration) {
        return form.in().apply(configuration);
    }

    /** Returns the fields of a thing as a release note would write them. */
    public Map<String, String> write(Record thing) {
        return form.fields(thing);
    }

    /** Reads the things that a section declares; faults go to the reader of the fields. */
    List<? extends Record> read(String name, Fields fields) {
        return form.readSafely(name, fields);
    }

    String nameOf(Record thing) {
        return form.nameOfThing(thing);
    }

    List<Reference> references(Record thing) {
        return form.referencesOf(thing);
    }

    void put(Configuration.Builder builder, Record thing) {
        form.putThing(builder, thing);
    }

    void remove(Configuration.Builder builder, Record thing) {
        form.removeThing(builder, thing);
    }
}
