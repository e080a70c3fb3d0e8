package org.knapweedhatch.release;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FileFault;

/** Release notes for tests. */
final class TestNotes {

    /** A small complete deployment: two regions, one service, one target, one team. */
    static final String BASE = """
            [add region lima]
            [add region arequipa]
            [add domain lima-a]
            region = lima
            [add service orders]
            timeout = 2s
            [add route orders]
            path = /orders
            service = orders
            access = keyed
            [add target orders-1]
            service = orders
            domain = lima-a
            address = 127.1.1.1:9000
            slots = 3
            connections = 330
            [add team crew-1]
            rate = 100
            burst = 20
            [add key crew-1-a]
            team = crew-1
            digest = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
            [add link lima->arequipa]
            bytes-per-second = 37500000
            [add shift orders:lima->arequipa]
            cap = 0.2
            [add blocks lima]
            cidrs = 10.1.0.0/16, 2001:db8::/32
            """;

    private TestNotes() {}

    static ReleaseNote of(String text) {
        return parse(text).orThrow();
    }

    static Checked<ReleaseNote> parse(String text) {
        return ReleaseNote.parse("n.ini", text.getBytes(StandardCharsets.UTF_8));
    }

    static List<String> faults(Checked<?> checked) {
        return checked.faults().stream().map(FileFault::toString).toList();
    }
}
