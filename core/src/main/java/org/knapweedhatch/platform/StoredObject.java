package org.knapweedhatch.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.knapweedhatch.helper.Validate;

/**
 * An object stored in the platform.
 *
 * @param name name of the object
 * @param era era of the store in which it was read; 0 if the store states none
 * @param version version of its last write; versions count over the whole store, within an era
 * @param body content, at most {@link #MAX_BYTES} bytes
 */
public record StoredObject(String name, long era, long version, byte[] body) {

    /** Largest body that the platform accepts, in bytes. */
    public static final int MAX_BYTES = 1_000_000;

    public StoredObject {
        Validate.notEmpty(name, "object name");
        Validate.notNull(body, "body");
    }

    /** Creates an object of a store that states no era. */
    public StoredObject(String name, long version, byte[] body) {
        this(name, 0, version, body);
    }

    /** Returns this object as read in an era. */
    public StoredObject inEra(long other) {
        return era == other ? this : new StoredObject(name, other, version, body);
    }

    /** Returns the era and the version of the last write. */
    public StoreVersion at() {
        return new StoreVersion(era, version);
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredObject that
                && name.equals(that.name)
                && era == that.era
                && version == that.version
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + Long.hashCode(version);
    }

    @Override
    public String toString() {
        return name + "@" + (era == 0 ? String.valueOf(version) : at().toString());
    }
}
