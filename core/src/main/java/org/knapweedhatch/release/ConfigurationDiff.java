package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.knapweedhatch.world.Configuration;

/**
 * The differences between two configurations.
 *
 * <pre>{@code
 * ConfigurationDiff.between(current, next).changes().forEach(System.out::println);
 * }</pre>
 *
 * @param from number of the earlier configuration
 * @param to number of the later configuration
 * @param changes the resources that were added, changed or withdrawn, ordered by kind and name
 */
public record ConfigurationDiff(long from, long to, List<Change> changes) {

    public ConfigurationDiff {
        changes = List.copyOf(changes);
    }

    /**
     * The change of one resource.
     *
     * @param verb whether it was added, changed or withdrawn
     * @param kind kind of the resource
     * @param name name of the resource
     * @param before fields before the change; empty if it was added
     * @param after fields after the change; empty if it was withdrawn
     */
    public record Change(
            Verb verb, ResourceKind kind, String name, Map<String, String> before, Map<String, String> after) {
        @Override
        public String toString() {
            String title = verb.keyword() + " " + kind.keyword() + " " + name;
            return switch (verb) {
                case ADD -> title + fields(after);
                case CHANGE -> title + fields(changedFields());
                case WITHDRAW -> title;
            };
        }

        private Map<String, String> changedFields() {
            Map<String, String> fields = new TreeMap<>();
            after.forEach((name, value) -> {
                if (!value.equals(before.get(name))) {
                    fields.put(name, before.get(name) + " -> " + value);
                }
            });
            return fields;
        }

        private static String fields(Map<String, String> fields) {
            return fields.isEmpty() ? "" : " " + new TreeMap<>(fields);
        }
    }

    /** Returns the differences between two configurations. */
    public static ConfigurationDiff between(Configuration from, Configuration to) {
        List<Change> changes = new ArrayList<>();
        for (ResourceKind kind : ResourceKind.values()) {
            Map<String, ? extends Record> before = kind.resourcesIn(from);
            Map<String, ? extends Record> after = kind.resourcesIn(to);
            for (String name : differingNames(before, after)) {
                changes.add(change(kind, name, before.get(name), after.get(name)));
            }
        }
        return new ConfigurationDiff(from.number(), to.number(), changes);
    }

    private static TreeSet<String> differingNames(
            Map<String, ? extends Record> before, Map<String, ? extends Record> after) {
        TreeSet<String> names = new TreeSet<>();
        before.forEach((name, resource) -> {
            if (!resource.equals(after.get(name))) {
                names.add(name);
            }
        });
        after.keySet().stream().filter(name -> !before.containsKey(name)).forEach(names::add);
        return names;
    }

    private static Change change(ResourceKind kind, String name, Record before, Record after) {
        if (before == null) {
            return new Change(Verb.ADD, kind, name, Map.of(), kind.fieldsOf(after));
        }
        if (after == null) {
            return new Change(Verb.WITHDRAW, kind, name, kind.fieldsOf(before), Map.of());
        }
        return new Change(Verb.CHANGE, kind, name, kind.fieldsOf(before), kind.fieldsOf(after));
    }

    /** Returns whether the configurations declare the same resources. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }
}
