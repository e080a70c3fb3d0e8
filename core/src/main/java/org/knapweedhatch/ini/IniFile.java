package org.knapweedhatch.ini;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * An INI file as it was read: sections and fields with their line numbers.
 *
 * <pre>{@code
 * IniFile file = IniFile.parse("agency.ini", bytes).orThrow();
 * file.section("daemon").flatMap(s -> s.field("region"));
 * }</pre>
 *
 * <p>Comments begin with {@code ;} or {@code #} at the start of a line. There are no includes and no escapes.
 *
 * @param name name of the file
 * @param sections sections in the order of the file; no title stands twice
 */
public record IniFile(String name, List<Section> sections) {

    /** Largest file that is read. */
    public static final int MAX_BYTES = 1_000_000;

    public IniFile {
        Validate.notEmpty(name, "file name");
        sections = List.copyOf(sections);
    }

    /** Parses a file of strict UTF-8; the result lists every fault of form. */
    public static Checked<IniFile> parse(String name, byte[] bytes) {
        FaultList faults = FaultList.of(name);
        if (bytes.length > MAX_BYTES) {
            faults.add(0, "", "file has " + bytes.length + " bytes, more than " + MAX_BYTES);
            return faults.checked();
        }
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            List<Section> sections = IniReader.read(text, faults);
            return faults.isEmpty() ? Checked.valid(new IniFile(name, sections)) : faults.checked();
        } catch (CharacterCodingException e) {
            faults.add(firstBadLine(bytes), "", "not valid UTF-8");
            return faults.checked();
        }
    }

    /** Returns the section with a title. */
    public Optional<Section> section(String title) {
        return sections.stream().filter(s -> s.title().equals(title)).findFirst();
    }

    /** Reads and parses a file; one that cannot be read is a fault of the file. */
    public static Checked<IniFile> read(Path file) {
        try {
            return parse(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            FaultList faults = FaultList.of(file.toString());
            faults.add(0, "", "cannot be read: " + e.getClass().getSimpleName());
            return faults.checked();
        }
    }

    private static int firstBadLine(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(bytes.length + 1);
        StandardCharsets.UTF_8.newDecoder().decode(in, out, true);
        int line = 1;
        for (int i = 0; i < in.position(); i++) {
            line += bytes[i] == '\n' ? 1 : 0;
        }
        return line;
    }
}
