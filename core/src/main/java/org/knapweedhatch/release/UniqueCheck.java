package org.knapweedhatch.release;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.release.ReleaseNote.Entry;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Key;
import org.knapweedhatch.world.Route;

/** Checks that no two things of a configuration share what must be their own: digest, address, path. */
final class UniqueCheck {

    private final Configuration.Builder builder;
    private final Map<Thing, Entry> touched;
    private final FaultList faults;

    UniqueCheck(Configuration.Builder builder, Map<Thing, Entry> touched, FaultList faults) {
        this.builder = builder;
        this.touched = touched;
        this.faults = faults;
    }

    boolean passes() {
        check(Kind.KEY, builder.keys(), Key::digest, "digest");
        check(Kind.TARGET, builder.targets(), t -> t.address().toString(), "address");
        check(Kind.ROUTE, builder.routes(), Route::path, "path");
        return faults.isEmpty();
    }

    private <T extends Record> void check(Kind kind, Map<String, T> things, Function<T, String> value, String field) {
        Map<String, String> owners = new HashMap<>();
        for (Map.Entry<String, T> e : things.entrySet()) {
            String other = owners.putIfAbsent(value.apply(e.getValue()), e.getKey());
            if (other != null) {
                fault(kind, e.getKey(), other, field);
            }
        }
    }

    private void fault(Kind kind, String name, String other, String field) {
        Entry own = touched.get(new Thing(kind, name));
        Entry entry = own == null ? touched.get(new Thing(kind, other)) : own;
        String owner = own == null ? name : other;
        int line = entry.section()
                .field(field)
                .map(f -> f.line())
                .orElse(entry.section().line());
        faults.add(line, field, "the same as that of " + kind.word() + " " + owner);
    }
}
