package org.knapweedhatch.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;

/**
 * Checks API keys against the active configuration. Immutable; keys are checked on every request, without caching.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.empty().withConfiguration(configuration);
 * KeyCheck check = ring.check(request.header("Knapweedhatch-Key"));
 * }</pre>
 */
public final class KeyRing {

    private static final Pattern KEY_FORMAT = Pattern.compile("[A-Za-z0-9_.-]{8,128}");
    private static final int MAX_WITHDRAWN = 10_000;
    private static final KeyRing EMPTY = new KeyRing(Configuration.empty(), Set.of());

    private final Configuration configuration;
    private final Set<String> withdrawn;

    private KeyRing(Configuration configuration, Set<String> withdrawn) {
        this.configuration = configuration;
        this.withdrawn = withdrawn;
    }

    /** Returns a key ring without keys. */
    public static KeyRing empty() {
        return EMPTY;
    }

    /**
     * Returns the key ring of the next configuration. It remembers the digests of up to 10,000 withdrawn keys; the
     * oldest are dropped first.
     */
    public KeyRing withConfiguration(Configuration next) {
        Validate.notNull(next, "configuration");
        Set<String> nextWithdrawn = new LinkedHashSet<>(withdrawn);
        configuration.keys().values().forEach(key -> nextWithdrawn.add(key.digest()));
        next.keys().values().forEach(key -> nextWithdrawn.remove(key.digest()));
        while (nextWithdrawn.size() > MAX_WITHDRAWN) {
            nextWithdrawn.remove(nextWithdrawn.iterator().next());
        }
        return new KeyRing(next, nextWithdrawn);
    }

    /** Checks the API key of a request; {@code presented} is null if the request carries none. */
    public KeyCheck check(String presented) {
        if (presented == null || presented.isEmpty()) {
            return new KeyCheck.Rejected(KeyCheck.Reason.MISSING);
        }
        if (!KEY_FORMAT.matcher(presented).matches()) {
            return new KeyCheck.Rejected(KeyCheck.Reason.MALFORMED);
        }
        String digest = Digests.sha256(presented);
        Optional<ApiKey> key =
                configuration.keyByDigest(digest).filter(known -> constantTimeEquals(known.digest(), digest));
        if (key.isPresent()) {
            return new KeyCheck.Accepted(key.get());
        }
        boolean known = withdrawn.contains(digest);
        return new KeyCheck.Rejected(known ? KeyCheck.Reason.WITHDRAWN : KeyCheck.Reason.UNKNOWN);
    }

    private static boolean constantTimeEquals(String first, String second) {
        byte[] firstBytes = first.getBytes(StandardCharsets.US_ASCII);
        byte[] secondBytes = second.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(firstBytes, secondBytes);
    }
}
