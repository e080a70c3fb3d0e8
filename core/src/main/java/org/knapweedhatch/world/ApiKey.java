package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * A key that callers of a team show; only its digest is known.
 *
 * @param name unique name, which is not secret
 * @param team team it belongs to
 * @param digest SHA-256 of the key, lower-case hexadecimal
 */
public record ApiKey(String name, String team, String digest) {
    public ApiKey {
        Validate.notEmpty(name, "key name");
        Validate.notEmpty(team, "team");
        Validate.isTrue(digest.matches("[0-9a-f]{64}"), "digest must be 64 lower-case hexadecimal digits");
    }
}
