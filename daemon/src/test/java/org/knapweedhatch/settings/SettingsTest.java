package org.knapweedhatch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.world.Address;

class SettingsTest {

    private static final String WHOLE = """
            [host]
            name = lima-a-1
            region = lima
            failure-domain = lima-a
            edge = 127.0.0.1:8080
            peer = 127.0.0.1:8081
            [platform]
            address = 127.0.0.1:7000
            [fleet]
            secret = sixteen-characters
            peers = 127.0.0.2:8081, 127.0.0.3:8081
            [drain]
            time = 3s
            """;

    @Test
    void wholeFileIsRead() {
        Settings settings =
                Settings.parse("a.ini", WHOLE.getBytes(StandardCharsets.UTF_8)).orThrow();
        assertEquals("lima-a", settings.host().domain());
        assertEquals(List.of(Address.parse("127.0.0.2:8081"), Address.parse("127.0.0.3:8081")), settings.peers());
        assertEquals(Duration.ofSeconds(3), settings.drainTime());
        assertEquals(Duration.ofSeconds(30), settings.stopTimeout());
    }

    @Test
    void everyFaultIsListedWithLineAndField() {
        String faulty = WHOLE.replace("edge = 127.0.0.1:8080", "edge = localhost:8080")
                .replace("secret = sixteen-characters", "secret = short")
                .replace("time = 3s", "time = 3 days\ncolour = red");
        assertEquals(
                List.of("a.ini:5: edge", "a.ini:10: secret", "a.ini:13: time", "a.ini:14: colour"), places(faulty));
    }

    @Test
    void missingSectionIsNamed() {
        assertEquals(
                List.of("a.ini: platform", "a.ini: address"),
                places(WHOLE.replace("[platform]\naddress = 127.0.0.1:7000\n", "")));
    }

    private static List<String> places(String text) {
        return Settings.parse("a.ini", text.getBytes(StandardCharsets.UTF_8)).faults().stream()
                .map(SettingsTest::place)
                .collect(Collectors.toList());
    }

    private static String place(FileFault fault) {
        String line = fault.line() > 0 ? ":" + fault.line() : "";
        return fault.file() + line + ": " + fault.field();
    }
}
