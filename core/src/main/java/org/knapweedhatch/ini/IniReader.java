package org.knapweedhatch.ini;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** Drives the library's parser line by line and gathers sections; after a fault it goes on with the next line. */
final class IniReader implements IniHandler {

    private static final String NO_SECTION = "?";

    private final FaultList faults;
    private final LineReader lines;
    private final List<Section> sections = new ArrayList<>();
    private final Set<String> titles = new HashSet<>();
    private final List<Field> fields = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private List<String> words = List.of();
    private int sectionLine;

    private IniReader(String text, FaultList faults) {
        this.faults = faults;
        this.lines = new LineReader(text);
    }

    static List<Section> read(String text, FaultList faults) {
        IniReader reader = new IniReader(text, faults);
        while (!reader.lines.atEnd()) {
            reader.parseOn();
        }
        reader.closeSection();
        return reader.sections;
    }

    private void parseOn() {
        try {
            IniParser.newInstance(config()).parse(lines, this);
        } catch (InvalidFileFormatException e) {
            faults.add(lines.line(), "", "neither a section, a field nor a comment");
        } catch (IOException e) {
            throw new IllegalStateException("reading from memory does not fail", e);
        }
    }

    private static Config config() {
        Config config = new Config();
        config.setEmptyOption(true);
        config.setEscape(false);
        config.setEscapeNewline(false);
        config.setGlobalSection(true);
        config.setGlobalSectionName(NO_SECTION);
        config.setInclude(false);
        config.setLowerCaseOption(false);
        config.setLowerCaseSection(false);
        config.setUnnamedSection(false);
        return config;
    }

    @Override
    public void startIni() {}

    @Override
    public void endIni() {}

    @Override
    public void handleComment(String comment) {}

    @Override
    public void endSection() {}

    @Override
    public void startSection(String title) {
        if (title.equals(NO_SECTION)) {
            return;
        }
        closeSection();
        words = List.of(title.strip().split("\\s+"));
        sectionLine = lines.line();
        if (!titles.add(String.join(" ", words))) {
            faults.add(sectionLine, title, "section stands twice");
        }
    }

    @Override
    public void handleOption(String name, String value) {
        int line = lines.line();
        if (words.isEmpty()) {
            faults.add(line, name, "field stands before the first section");
        } else if (!names.add(name)) {
            faults.add(line, name, "field stands twice in its section");
        } else {
            fields.add(new Field(name, value == null ? "" : value, line));
        }
    }

    private void closeSection() {
        if (!words.isEmpty()) {
            sections.add(new Section(words, sectionLine, fields));
        }
        words = List.of();
        fields.clear();
        names.clear();
    }
}
