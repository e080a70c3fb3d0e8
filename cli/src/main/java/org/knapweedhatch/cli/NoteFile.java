package org.knapweedhatch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.release.ReleaseNote;

/** Reads a release note from a file. */
final class NoteFile {

    private NoteFile() {}

    static Checked<ReleaseNote> read(String file) {
        try {
            return ReleaseNote.parse(file, Files.readAllBytes(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            FaultList faults = FaultList.of(file.isBlank() ? "note" : file);
            faults.add(0, "", "cannot be read");
            return faults.checked();
        }
    }
}
