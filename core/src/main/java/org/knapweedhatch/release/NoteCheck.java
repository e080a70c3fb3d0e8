package org.knapweedhatch.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.release.ReleaseNote.Entry;
import org.knapweedhatch.world.Configuration;

/** Checks a note against the configuration it changes, and builds the next one; used once. */
final class NoteCheck {

    private final ReleaseNote note;
    private final Configuration current;
    private final Configuration.Builder builder;
    private final FaultList faults;
    private final Map<Thing, Entry> touched = new HashMap<>();
    private final Map<Thing, Entry> withdrawn = new HashMap<>();

    NoteCheck(ReleaseNote note, Configuration current) {
        this.note = note;
        this.current = current;
        this.builder = current.toBuilder();
        this.faults = FaultList.of(note.file());
    }

    Checked<Configuration> run() {
        note.entries().forEach(this::apply);
        if (!faults.isEmpty()) {
            return faults.checked();
        }
        if (!new UniqueCheck(builder, touched, faults).passes()) {
            return faults.checked();
        }
        Configuration next = builder.build(current.number() + 1);
        checkReferences(next);
        if (faults.isEmpty() && next.sameContent(current)) {
            faults.add(0, "", "note changes nothing in configuration " + current.number());
        }
        return faults.isEmpty() ? Checked.valid(next) : faults.checked();
    }

    private void apply(Entry entry) {
        switch (entry.verb()) {
            case ADD -> add(entry);
            case CHANGE -> change(entry);
            case WITHDRAW -> withdraw(entry);
            default -> throw new IllegalStateException("unknown verb " + entry.verb());
        }
    }

    private void add(Entry entry) {
        for (Record thing : read(entry, Map.of())) {
            String name = entry.kind().nameOf(thing);
            if (entry.kind().in(current).containsKey(name)) {
                fault(entry, entry.kind().word() + " exists already: " + name);
            } else {
                put(entry, thing);
            }
        }
    }

    private void change(Entry entry) {
        Record before = entry.kind().in(current).get(entry.name());
        if (before == null && entry.kind() != Kind.BLOCKS) {
            fault(entry, "no such " + entry.kind().word());
            return;
        }
        Map<String, String> defaults = before == null ? Map.of() : entry.kind().write(before);
        for (Record thing : read(entry, defaults)) {
            String name = entry.kind().nameOf(thing);
            if (entry.kind().in(current).containsKey(name)) {
                put(entry, thing);
            } else {
                fault(entry, "no such " + entry.kind().word() + ": " + name);
            }
        }
    }

    private void withdraw(Entry entry) {
        if (entry.kind() == Kind.BLOCKS) {
            read(entry, Map.of()).forEach(thing -> withdraw(entry, thing));
            return;
        }
        Fields.of(entry.section(), faults).rejectOthers();
        Record thing = entry.kind().in(current).get(entry.name());
        if (thing == null) {
            fault(entry, "no such " + entry.kind().word());
        } else {
            withdraw(entry, thing);
        }
    }

    private void withdraw(Entry entry, Record thing) {
        Record before = entry.kind().in(current).get(entry.kind().nameOf(thing));
        if (!thing.equals(before)) {
            fault(entry, "no such " + entry.kind().word() + ": " + entry.kind().nameOf(thing));
        } else if (once(entry, entry.kind().nameOf(thing))) {
            entry.kind().remove(builder, thing);
            withdrawn.put(new Thing(entry.kind(), entry.kind().nameOf(thing)), entry);
        }
    }

    private List<? extends Record> read(Entry entry, Map<String, String> defaults) {
        Fields fields = Fields.of(entry.section(), faults, defaults);
        List<? extends Record> things = entry.kind().read(entry.name(), fields);
        fields.rejectOthers();
        return fields.valid() ? things : List.of();
    }

    private void put(Entry entry, Record thing) {
        if (once(entry, entry.kind().nameOf(thing))) {
            entry.kind().put(builder, thing);
            touched.put(new Thing(entry.kind(), entry.kind().nameOf(thing)), entry);
        }
    }

    private boolean once(Entry entry, String name) {
        Thing thing = new Thing(entry.kind(), name);
        if (!touched.containsKey(thing) && !withdrawn.containsKey(thing)) {
            return true;
        }
        fault(entry, "the note names the same thing twice: " + name);
        return false;
    }

    private void checkReferences(Configuration next) {
        Set<Thing> told = new HashSet<>();
        for (Kind kind : Kind.values()) {
            for (Map.Entry<String, ? extends Record> e : kind.in(next).entrySet()) {
                for (Reference reference : kind.references(e.getValue())) {
                    if (!reference.kind().in(next).containsKey(reference.name())) {
                        missing(new Thing(kind, e.getKey()), reference, told);
                    }
                }
            }
        }
    }

    private void missing(Thing user, Reference reference, Set<Thing> told) {
        Entry entry = touched.get(user);
        if (entry != null) {
            int line = entry.section()
                    .field(reference.field())
                    .map(f -> f.line())
                    .orElse(entry.section().line());
            String field = reference.field().isEmpty() ? entry.section().title() : reference.field();
            faults.add(line, field, "no such " + reference.kind().word() + ": " + reference.name());
            return;
        }
        Thing used = new Thing(reference.kind(), reference.name());
        if (withdrawn.containsKey(used) && told.add(used)) {
            fault(withdrawn.get(used), "still in use by " + user);
        }
    }

    private void fault(Entry entry, String message) {
        faults.add(entry.section().line(), entry.section().title(), message);
    }
}
