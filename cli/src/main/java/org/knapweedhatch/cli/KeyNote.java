package org.knapweedhatch.cli;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import org.knapweedhatch.release.ReleaseNote;

/**
 * A release note about one key. Each carries its own number, since a note with the bytes of an earlier one would be
 * reported as accepted already and a key given again could not be withdrawn again.
 *
 * @param text text of the note
 */
record KeyNote(String text) {

    static KeyNote giving(String name, String team, String digest) {
        return numbered("[add key " + name + "]\nteam = " + team + "\ndigest = " + digest + "\n");
    }

    static KeyNote withdrawing(String name) {
        return numbered("[withdraw key " + name + "]\n");
    }

    private static KeyNote numbered(String text) {
        return new KeyNote("# " + UUID.randomUUID() + "\n" + text);
    }

    ReleaseNote parsed() {
        return ReleaseNote.parse("key note", text.getBytes(StandardCharsets.UTF_8))
                .orThrow();
    }
}
