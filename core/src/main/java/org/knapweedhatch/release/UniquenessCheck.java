package org.knapweedhatch.release;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.release.ReleaseNote.Entry;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;

/** Checks that API keys have unique digests, targets unique addresses and routes unique paths. */
final class UniquenessCheck {

    private final Configuration.Builder builder;
    private final Map<ResourceId, Entry> changed;
    private final FaultList faults;

    UniquenessCheck(Configuration.Builder builder, Map<ResourceId, Entry> changed, FaultList faults) {
        this.builder = builder;
        this.changed = changed;
        this.faults = faults;
    }

    boolean passes() {
        check(ResourceKind.KEY, builder.keys(), ApiKey::digest, "digest");
        check(ResourceKind.TARGET, builder.targets(), t -> t.address().toString(), "address");
        check(ResourceKind.ROUTE, builder.routes(), Route::path, "path");
        return faults.isEmpty();
    }

    private <T extends Record> void check(
            ResourceKind kind, Map<String, T> resources, Function<T, String> value, String field) {
        Map<String, String> owners = new HashMap<>();
        for (Map.Entry<String, T> e : resources.entrySet()) {
            String other = owners.putIfAbsent(value.apply(e.getValue()), e.getKey());
            if (other != null) {
                addFault(kind, e.getKey(), other, field);
            }
        }
    }

    private void addFault(ResourceKind kind, String name, String other, String field) {
        Entry ownEntry = changed.get(new ResourceId(kind, name));
        Entry entry = ownEntry == null ? changed.get(new ResourceId(kind, other)) : ownEntry;
        String owner = ownEntry == null ? name : other;
        int line = entry.section()
                .field(field)
                .map(f -> f.line())
                .orElse(entry.section().line());
        faults.add(line, field, "the same as that of " + kind.keyword() + " " + owner);
    }
}
