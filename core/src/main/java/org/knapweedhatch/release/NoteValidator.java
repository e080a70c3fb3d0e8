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

/** Validates a note against the configuration that it changes and builds the next one. An instance is used once. */
final class NoteValidator {

    private final ReleaseNote note;
    private final Configuration current;
    private final Configuration.Builder builder;
    private final FaultList faults;
    private final Map<ResourceId, Entry> changed = new HashMap<>();
    private final Map<ResourceId, Entry> withdrawn = new HashMap<>();

    NoteValidator(ReleaseNote note, Configuration current) {
        this.note = note;
        this.current = current;
        this.builder = current.toBuilder();
        this.faults = FaultList.of(note.file());
    }

    Checked<Configuration> validate() {
        note.entries().forEach(this::apply);
        if (!faults.isEmpty()) {
            return faults.checked();
        }
        if (!new UniquenessCheck(builder, changed, faults).passes()) {
            return faults.checked();
        }
        Configuration next = builder.build(current.number() + 1);
        checkReferences(next);
        if (faults.isEmpty() && next.hasSameContent(current)) {
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
        for (Record resource : read(entry, Map.of())) {
            String name = entry.kind().nameOf(resource);
            if (entry.kind().resourcesIn(current).containsKey(name)) {
                addFault(entry, entry.kind().keyword() + " exists already: " + name);
            } else {
                put(entry, resource);
            }
        }
    }

    private void change(Entry entry) {
        Record before = entry.kind().resourcesIn(current).get(entry.name());
        if (before == null && entry.kind() != ResourceKind.BLOCKS) {
            addFault(entry, "no such " + entry.kind().keyword());
            return;
        }
        Map<String, String> defaults = before == null ? Map.of() : entry.kind().fieldsOf(before);
        for (Record resource : read(entry, defaults)) {
            String name = entry.kind().nameOf(resource);
            if (entry.kind().resourcesIn(current).containsKey(name)) {
                put(entry, resource);
            } else {
                addFault(entry, "no such " + entry.kind().keyword() + ": " + name);
            }
        }
    }

    private void withdraw(Entry entry) {
        if (entry.kind() == ResourceKind.BLOCKS) {
            read(entry, Map.of()).forEach(resource -> withdraw(entry, resource));
            return;
        }
        Fields.of(entry.section(), faults).rejectOthers();
        Record resource = entry.kind().resourcesIn(current).get(entry.name());
        if (resource == null) {
            addFault(entry, "no such " + entry.kind().keyword());
        } else {
            withdraw(entry, resource);
        }
    }

    private void withdraw(Entry entry, Record resource) {
        Record before = entry.kind().resourcesIn(current).get(entry.kind().nameOf(resource));
        if (!resource.equals(before)) {
            addFault(
                    entry,
                    "no such " + entry.kind().keyword() + ": " + entry.kind().nameOf(resource));
        } else if (isFirstMention(entry, entry.kind().nameOf(resource))) {
            entry.kind().remove(builder, resource);
            withdrawn.put(new ResourceId(entry.kind(), entry.kind().nameOf(resource)), entry);
        }
    }

    private List<? extends Record> read(Entry entry, Map<String, String> defaults) {
        Fields fields = Fields.of(entry.section(), faults, defaults);
        List<? extends Record> resources = entry.kind().read(entry.name(), fields);
        fields.rejectOthers();
        return fields.valid() ? resources : List.of();
    }

    private void put(Entry entry, Record resource) {
        if (isFirstMention(entry, entry.kind().nameOf(resource))) {
            entry.kind().put(builder, resource);
            changed.put(new ResourceId(entry.kind(), entry.kind().nameOf(resource)), entry);
        }
    }

    private boolean isFirstMention(Entry entry, String name) {
        ResourceId resource = new ResourceId(entry.kind(), name);
        if (!changed.containsKey(resource) && !withdrawn.containsKey(resource)) {
            return true;
        }
        addFault(entry, "the note names the same resource twice: " + name);
        return false;
    }

    private void checkReferences(Configuration next) {
        Set<ResourceId> reported = new HashSet<>();
        for (ResourceKind kind : ResourceKind.values()) {
            for (Map.Entry<String, ? extends Record> e : kind.resourcesIn(next).entrySet()) {
                for (ResourceReference reference : kind.references(e.getValue())) {
                    if (!reference.kind().resourcesIn(next).containsKey(reference.name())) {
                        addMissingReference(new ResourceId(kind, e.getKey()), reference, reported);
                    }
                }
            }
        }
    }

    private void addMissingReference(ResourceId user, ResourceReference reference, Set<ResourceId> reported) {
        Entry entry = changed.get(user);
        if (entry != null) {
            int line = entry.section()
                    .field(reference.field())
                    .map(f -> f.line())
                    .orElse(entry.section().line());
            String field = reference.field().isEmpty() ? entry.section().title() : reference.field();
            faults.add(line, field, "no such " + reference.kind().keyword() + ": " + reference.name());
            return;
        }
        ResourceId used = new ResourceId(reference.kind(), reference.name());
        if (withdrawn.containsKey(used) && reported.add(used)) {
            addFault(withdrawn.get(used), "still in use by " + user);
        }
    }

    private void addFault(Entry entry, String message) {
        faults.add(entry.section().line(), entry.section().title(), message);
    }
}
