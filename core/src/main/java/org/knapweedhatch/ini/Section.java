package org.knapweedhatch.ini;

import java.util.List;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * A section of an INI file, such as {@code [add team crew-1]}.
 *
 * @param words the words between the brackets
 * @param line line number of the opening bracket, counted from 1
 * @param fields fields in the order of the file; no name stands twice
 */
public record Section(List<String> words, int line, List<Field> fields) {
    public Section {
        words = List.copyOf(words);
        fields = List.copyOf(fields);
        Validate.isTrue(!words.isEmpty(), "a section has a name");
    }

    /** Returns the words joined by single blanks. */
    public String title() {
        return String.join(" ", words);
    }

    /** Returns the field with a name. */
    public Optional<Field> field(String name) {
        return fields.stream().filter(f -> f.name().equals(name)).findFirst();
    }
}
