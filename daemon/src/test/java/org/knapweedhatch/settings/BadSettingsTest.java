package org.knapweedhatch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FileFault;

/** Generated settings files: whatever the bytes, the outcome is a list of faults or whole settings. */
class BadSettingsTest {

    private static final List<String> GOOD = List.of(
            "[host]",
            "name = lima-a-1",
            "region = lima",
            "failure-domain = lima-a",
            "edge = 127.0.0.11:8080",
            "peer = 127.0.0.11:8081",
            "[platform]",
            "address = 127.0.0.1:8500",
            "credential = token",
            "[fleet]",
            "secret = sixteen-characters-or-more",
            "peers = 127.0.0.12:8081, 127.0.0.13:8081",
            "[drain]",
            "time = 10s",
            "stop-timeout = 30s");
    private static final List<String> VALUES = List.of(
            "",
            " ",
            "-1",
            "0",
            "1e9",
            "99999999999999999999s",
            "10",
            "3 weeks",
            "127.0.0.1",
            "127.0.0.1:0",
            "localhost:80",
            "127.0.0.1:99999",
            "[::1]:80",
            ",",
            ",,127.0.0.1:1",
            "\u0000",
            "x".repeat(1_200),
            "%s",
            "${home}",
            "a\tb");

    @Provide
    Arbitrary<List<String>> rewritten() {
        Arbitrary<Integer> place = Arbitraries.integers().between(0, GOOD.size() - 1);
        Arbitrary<String> value = Arbitraries.oneOf(
                Arbitraries.of(VALUES), Arbitraries.strings().ascii().ofMaxLength(20), Arbitraries.of(GOOD));
        return Combinators.combine(place, value, Arbitraries.integers().between(0, 4))
                .as(BadSettingsTest::rewrite);
    }

    private static List<String> rewrite(int at, String value, int kind) {
        List<String> lines = new ArrayList<>(GOOD);
        switch (kind) {
            case 0 -> lines.remove(at);
            case 1 -> lines.add(at, value);
            default -> lines.set(at, lines.get(at).replaceFirst("= .*", "= ") + value);
        }
        return lines;
    }

    private static Checked<Settings> parse(List<String> lines) {
        return Settings.parse("s.ini", String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void theSettingsThatAreRewrittenAreGood() {
        assertTrue(parse(GOOD).isValid(), parse(GOOD).faults().toString());
    }

    @Property(tries = 5_000, seed = "31")
    void settingsWithOneLineRewrittenEndInFaultsOrWholeSettings(@ForAll("rewritten") List<String> lines) {
        check(parse(lines));
    }

    @Property(tries = 2_000, seed = "32")
    void anyBytesEndInFaultsOrWholeSettings(@ForAll byte[] bytes) {
        check(Settings.parse("s.ini", bytes));
    }

    private static void check(Checked<Settings> settings) {
        if (settings.isValid()) {
            assertFalse(settings.orThrow().host().name().isBlank());
            return;
        }
        assertFalse(settings.faults().isEmpty());
        for (FileFault fault : settings.faults()) {
            assertEquals("s.ini", fault.file());
            assertTrue(!fault.message().contains("Exception"), fault.toString());
        }
    }
}
