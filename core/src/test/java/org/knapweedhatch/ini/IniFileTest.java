package org.knapweedhatch.ini;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class IniFileTest {

    private static Checked<IniFile> parse(String text) {
        return IniFile.parse("a.ini", text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> faults(Checked<?> checked) {
        return checked.faults().stream().map(FileFault::toString).toList();
    }

    @Test
    void sectionsAndFieldsCarryTheirLines() {
        IniFile file = parse("# comment\n\n[add team crew-1]\nrate = 5\r\n; more\nburst=7\n[x]\n")
                .orThrow();
        Section section = file.section("add team crew-1").orElseThrow();
        assertEquals(3, section.line());
        assertEquals(List.of("add", "team", "crew-1"), section.words());
        assertEquals(List.of(new Field("rate", "5", 4), new Field("burst", "7", 6)), section.fields());
        assertEquals(7, file.sections().get(1).line());
    }

    @Test
    void everyFaultOfFormIsListedWithItsLine() {
        Checked<IniFile> checked = parse("early=1\n[a]\nx=1\nx=2\n[broken\ny=3\n[a]\n");
        assertEquals(
                List.of(
                        "a.ini:1: early: field stands before the first section",
                        "a.ini:4: x: field stands twice in its section",
                        "a.ini:5: neither a section, a field nor a comment",
                        "a.ini:7: a: section stands twice"),
                faults(checked));
    }

    @Test
    void malformedUtf8IsRefusedWithItsLine() {
        byte[] bytes = {'[', 'a', ']', '\n', 'x', '=', (byte) 0xC3, (byte) 0x28, '\n'};
        assertEquals(List.of("a.ini:2: not valid UTF-8"), faults(IniFile.parse("a.ini", bytes)));
    }

    @Test
    void aFileOverTheBoundIsRefused() {
        assertTrue(faults(IniFile.parse("a.ini", new byte[1_000_001])).get(0).contains("1000001 bytes"));
    }

    @Test
    void backslashesAndIncludesAreOrdinaryText() {
        IniFile file = parse("[a]\nx=c:\\temp\\\ny=1\n").orThrow();
        assertEquals("c:\\temp\\", file.sections().get(0).fields().get(0).value());
        assertEquals(2, file.sections().get(0).fields().size());
    }

    @Test
    void typedFieldsAreCheckedAndAllFaultsGathered() {
        Section section = parse("[s]\nn=12x\nd=9h\na=host:80\nc=red\nextra=1\nok=250ms\n")
                .orThrow()
                .sections()
                .get(0);
        FaultList faults = FaultList.of("a.ini");
        Fields fields = Fields.of(section, faults);
        fields.whole("n", 1, 9);
        fields.duration("d", Duration.ofMillis(1), Duration.ofHours(1));
        fields.address("a");
        fields.choice("c", Thread.State.class);
        fields.text("absent");
        assertEquals(Duration.ofMillis(250), fields.duration("ok", Duration.ZERO, Duration.ofSeconds(1)));
        fields.rejectOthers();
        assertEquals(
                List.of(
                        "a.ini:2: n: not a whole number: 12x",
                        "a.ini:3: d: out of range 1ms to 1h: 9h",
                        "a.ini:4: a: not an address of the form ip:port: host:80",
                        "a.ini:5: c: not one of new, runnable, blocked, waiting, timed-waiting, terminated: red",
                        "a.ini:1: absent: field is missing",
                        "a.ini:6: extra: unknown field"),
                faults(faults.checked()));
    }

    @Test
    void blocksHaveOneCanonicalText() {
        assertEquals("10.1.0.0/16", IpNumbers.block("10.1.0.0/16").orElseThrow());
        assertEquals(IpNumbers.block("2001:db8::/32"), IpNumbers.block("2001:0DB8:0::/32"));
        assertTrue(IpNumbers.block("10.1.0.1/16").isEmpty());
        assertTrue(IpNumbers.block("10.1.0.0/33").isEmpty());
        for (String bad : List.of(
                "10.1/16",
                "10.1.0.256/32",
                "10.01.0.0/16",
                "10.1.0.0.0/16",
                "10.1.0./16",
                ".1.0.0/16",
                "10.1.0.0/",
                "10.1.0.0/016",
                "1e.1.0.0/16",
                "10.1.0.0",
                "/8",
                "")) {
            assertTrue(IpNumbers.block(bad).isEmpty(), bad);
        }
    }
}
