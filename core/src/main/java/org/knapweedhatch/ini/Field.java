package org.knapweedhatch.ini;

import org.knapweedhatch.helper.Validate;

/**
 * A field of a section.
 *
 * @param name name before the equals sign
 * @param value text after it; empty where there is none
 * @param line line number, counted from 1
 */
public record Field(String name, String value, int line) {
    public Field {
        Validate.notNull(name, "name");
        Validate.notNull(value, "value");
    }
}
