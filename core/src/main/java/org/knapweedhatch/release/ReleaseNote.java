package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.ini.Section;
import org.knapweedhatch.world.Configuration;

/**
 * A release note: a file that lists the resources to add, change and withdraw.
 *
 * <pre>{@code
 * ReleaseNote note = ReleaseNote.parse("crew.ini", bytes).orThrow();
 * Configuration next = note.apply(configuration).orThrow();
 * }</pre>
 */
public final class ReleaseNote {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern COMPOUND_NAME = Pattern.compile("[A-Za-z0-9._:>-]{1,200}");

    private final String file;
    private final String digest;
    private final List<Entry> entries;

    private ReleaseNote(String file, String digest, List<Entry> entries) {
        this.file = file;
        this.digest = digest;
        this.entries = List.copyOf(entries);
    }

    /** A parsed section of a note, which applies a verb to one resource or to a list of client blocks. */
    record Entry(Verb verb, ResourceKind kind, String name, Section section) {}

    /** Parses a note of at most {@link IniFile#MAX_BYTES}; the result lists every syntax error. */
    public static Checked<ReleaseNote> parse(String file, byte[] bytes) {
        return IniFile.parse(file, bytes).then(ini -> {
            FaultList faults = FaultList.of(file);
            List<Entry> entries = entries(ini, faults);
            if (entries.isEmpty() && faults.isEmpty()) {
                faults.add(0, "", "note declares nothing");
            }
            return faults.isEmpty()
                    ? Checked.valid(new ReleaseNote(file, Digests.sha256(bytes), entries))
                    : faults.checked();
        });
    }

    /** Returns whether a text is a valid name of a resource such as a team, a key or a target. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns the name of the file. */
    public String file() {
        return file;
    }

    /** Returns the SHA-256 digest of the note's bytes, by which a resubmitted note is recognized. */
    public String digest() {
        return digest;
    }

    List<Entry> entries() {
        return entries;
    }

    /**
     * Returns the configuration after applying this note, with the next number; {@code current} is not modified. If the
     * note is invalid, the result lists every fault.
     */
    public Checked<Configuration> apply(Configuration current) {
        return new NoteValidator(this, current).validate();
    }

    private static List<Entry> entries(IniFile ini, FaultList faults) {
        List<Entry> entries = new ArrayList<>();
        Set<String> resources = new HashSet<>();
        for (Section section : ini.sections()) {
            parseEntry(section, faults).ifPresent(entry -> {
                if (resources.add(entry.kind() + " " + entry.name()) || entry.kind() == ResourceKind.BLOCKS) {
                    entries.add(entry);
                } else {
                    faults.add(section.line(), section.title(), "the note names the same resource twice");
                }
            });
        }
        return entries;
    }

    private static Optional<Entry> parseEntry(Section section, FaultList faults) {
        List<String> words = section.words();
        Optional<Verb> verb = parseVerb(words.get(0));
        Optional<ResourceKind> kind = words.size() > 1 ? ResourceKind.of(words.get(1)) : Optional.empty();
        if (verb.isEmpty()) {
            faults.add(section.line(), section.title(), "section begins with none of add, change, withdraw");
        } else if (kind.isEmpty()) {
            faults.add(section.line(), section.title(), "unknown kind of resource");
        } else if (!hasValidName(kind.get(), words.subList(2, words.size()))) {
            faults.add(section.line(), section.title(), "name is missing or malformed");
        } else {
            String name = String.join(" ", words.subList(2, words.size()));
            return Optional.of(new Entry(verb.get(), kind.get(), name, section));
        }
        return Optional.empty();
    }

    private static Optional<Verb> parseVerb(String word) {
        for (Verb verb : Verb.values()) {
            if (verb.keyword().equals(word)) {
                return Optional.of(verb);
            }
        }
        return Optional.empty();
    }

    private static boolean hasValidName(ResourceKind kind, List<String> words) {
        return switch (kind) {
            case DRAIN -> words.size() == 2 && NAME.matcher(words.get(1)).matches();
            case LINK, SHIFT ->
                words.size() == 1 && COMPOUND_NAME.matcher(words.get(0)).matches();
            default -> words.size() == 1 && NAME.matcher(words.get(0)).matches();
        };
    }
}
