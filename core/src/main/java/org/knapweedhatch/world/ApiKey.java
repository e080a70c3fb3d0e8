package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * An API key by which callers identify their team. Only the digest is stored, never the key itself.
 *
 * @param name unique name; not secret
 * @param team name of the team it belongs to
 * @param digest SHA-256 of the key in lower-case hexadecimal
 */
public record ApiKey(String name, String team, String digest) {
    public ApiKey {
        Validate.notEmpty(name, "key name");
        Validate.notEmpty(team, "team");
        Validate.isTrue(digest.matches("[0-9a-f]{64}"), "digest must be 64 lower-case hexadecimal digits");
    }
}
