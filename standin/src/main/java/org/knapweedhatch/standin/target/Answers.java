package org.knapweedhatch.standin.target;

import java.nio.charset.StandardCharsets;

/** The bodies that target stand-ins answer with, reproducible by the caller. */
public final class Answers {

    private Answers() {}

    /** Returns the body of an answer: {@code size} bytes that depend on the path. */
    public static byte[] body(String path, int size) {
        byte[] seed = path.getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[size];
        for (int i = 0; i < size; i++) {
            body[i] = (byte) (seed[i % seed.length] + i / seed.length);
        }
        return body;
    }
}
