package org.knapweedhatch.ini;

import org.knapweedhatch.helper.Validate;

/**
 * A fault in a file.
 *
 * @param file name of the file
 * @param line line number, counted from 1; 0 where the fault concerns the whole file
 * @param field field or section concerned; empty where there is none
 * @param message one short sentence for people
 */
public record FileFault(String file, int line, String field, String message) {
    public FileFault {
        Validate.notEmpty(file, "file");
        Validate.notNull(field, "field");
        Validate.notEmpty(message, "message");
    }

    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line + ": " : file + ": ";
        return field.isEmpty() ? place + message : place + field + ": " + message;
    }
}
