package org.knapweedhatch.key;

import org.knapweedhatch.world.ApiKey;

/** Result of checking the API key of a request. */
public sealed interface KeyCheck {

    /** The key is valid. */
    record Accepted(ApiKey key) implements KeyCheck {}

    /** The key is not accepted. */
    record Rejected(Reason reason) implements KeyCheck {}

    /** Why a key is not accepted. The texts go to the caller and reveal nothing about other keys. */
    enum Reason {
        /** The request carries no key. */
        MISSING("this route needs a key"),
        /** The text does not have the format of a key. */
        MALFORMED("the key is malformed"),
        /** The key is not, and as far as this host knows never was, part of the configuration. */
        UNKNOWN("the key is not known"),
        /** The key was valid and has been withdrawn. */
        WITHDRAWN("the key has been withdrawn");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the explanation for the caller. */
        public String text() {
            return text;
        }
    }
}
