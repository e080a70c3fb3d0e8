package org.knapweedhatch.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.knapweedhatch.helper.Validate;

/**
 * An object stored in the platform.
 *
 * @param name name of the object
 * @param version version of its last write; versions count over the whole store
 * @param body content, at most {@link #MAX_BYTES} bytes
 */
public record StoredObject(String name, long version, byte[] body) {

    /** Largest body that the platform accepts, in bytes. */
    public static final int MAX_BYTES = 1_000_000;

    public StoredObject {
        Validate.notEmpty(name, "object name");
        Validate.notNull(body, "body");
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredObject that
                && name.equals(that.name)
                && version == that.version
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + Long.hashCode(version);
    }

    @Override
    public String toString() {
        return name + "@" + version;
    }
}
