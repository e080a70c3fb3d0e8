package org.knapweedhatch.key;

import org.knapweedhatch.world.ApiKey;

/** The outcome of checking a key. */
public sealed interface KeyCheck {

    /** The key is in force. */
    record Accepted(ApiKey key) implements KeyCheck {}

    /** The key is not accepted. */
    record Rejected(Reason reason) implements KeyCheck {}

    /** Why a key is not accepted; none of the texts tells anything about other keys. */
    enum Reason {
        /** The request shows no key. */
        MISSING("this route needs a key"),
        /** The text cannot be a key. */
        MALFORMED("the key is malformed"),
        /** No such key was ever in force here. */
        UNKNOWN("the key is not known"),
        /** The key was in force and has been withdrawn. */
        WITHDRAWN("the key has been withdrawn");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns a sentence for the caller. */
        public String text() {
            return text;
        }
    }
}
