package org.knapweedhatch.fleet;

import java.util.Optional;
import org.knapweedhatch.platform.StoredObject;

/**
 * An object in the store of the platform that all hosts read and change by conditional updates.
 *
 * <p>Its methods are called from several threads and must not block.
 */
public interface SharedObject {

    /** Name prefix of all shared objects; one watch covers them. */
    String PREFIX = "fleet/";

    /**
     * A conditional update.
     *
     * @param expectedVersion version of the object to replace; 0 to create the object
     * @param body new content of the object
     */
    record Write(long expectedVersion, byte[] body) {

        /** Expected version if the object must be read before it can be written. */
        public static final long UNREAD = -1;
    }

    /** The outcome of an attempted write. */
    enum Outcome {
        /** It took effect. */
        WON,
        /** This attempt had and will have no effect. */
        REFUSED,
        /** It may have taken effect, or may still do so. */
        UNKNOWN
    }

    /** Returns the name of the object, which starts with {@link #PREFIX}. */
    String name();

    /** Called with the object as read from the store; it may be older than one passed before. */
    void onRead(StoredObject object);

    /** Called when the store has no such object. */
    void onAbsent();

    /** Returns the write to attempt now, if any; it is attempted once and followed by {@link #onWriteEnded}. */
    Optional<Write> nextWrite();

    /** Called with the outcome of a write; the object has been read back before if that was possible. */
    void onWriteEnded(Outcome outcome);
}
