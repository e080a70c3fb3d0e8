package org.knapweedhatch.fleet;

import java.util.Optional;
import org.knapweedhatch.platform.StoredObject;

/**
 * One object of the platform that all hosts read and change by conditional update.
 *
 * <p>Its methods are called from threads of the fleet and must not block.
 */
public interface SharedObject {

    /** Common start of the names of all shared objects; one watch covers them. */
    String PREFIX = "fleet/";

    /**
     * A conditional update.
     *
     * @param expectedVersion version of the object that it replaces; 0 where the object is to be created
     * @param body what to write
     */
    record Write(long expectedVersion, byte[] body) {

        /** Expected version of a write whose object has to be read first. */
        public static final long UNREAD = -1;
    }

    /** How the attempt at a write ended. */
    enum Outcome {
        /** It took effect. */
        WON,
        /** This attempt had no effect and will have none. */
        REFUSED,
        /** It may have taken effect, or may still do so. */
        UNKNOWN
    }

    /** Returns the name of the object; it begins with {@link #PREFIX}. */
    String name();

    /** Takes in the object as it was read; it may be older than one taken in before. */
    void onRead(StoredObject object);

    /** Notes that the platform holds no such object. */
    void onAbsent();

    /** Returns the write to try now; each is tried once and its end is told to {@link #onWriteEnded}. */
    Optional<Write> nextWrite();

    /** Takes in how a write ended; the object has been read back before where that was possible. */
    void onWriteEnded(Outcome outcome);
}
