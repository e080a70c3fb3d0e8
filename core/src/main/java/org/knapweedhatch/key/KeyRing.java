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
 * The keys of the configuration in force, checked anew for every request.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.empty().configure(configuration);
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

    /** Returns a ring without keys. */
    public static KeyRing empty() {
        return EMPTY;
    }

    /** Returns the ring of the next configuration; it remembers the digests of keys that are no longer there. */
    public KeyRing withConfiguration(Configuration next) {
        Validate.notNull(next, "configuration");
        Set<String> gone = new LinkedHashSet<>(withdrawn);
        configuration.keys().values().forEach(key -> gone.add(key.digest()));
        next.keys().values().forEach(key -> gone.remove(key.digest()));
        while (gone.size() > MAX_WITHDRAWN) {
            gone.remove(gone.iterator().next());
        }
        return new KeyRing(next, gone);
    }

    /** Checks the key that a request shows; {@code shown} is null where it shows none. */
    public KeyCheck check(String shown) {
        if (shown == null || shown.isEmpty()) {
            return new KeyCheck.Rejected(KeyCheck.Reason.MISSING);
        }
        if (!KEY_FORMAT.matcher(shown).matches()) {
            return new KeyCheck.Rejected(KeyCheck.Reason.MALFORMED);
        }
        String digest = Digests.sha256(shown);
        Optional<ApiKey> key =
                configuration.keyByDigest(digest).filter(known -> constantTimeEquals(known.digest(), digest));
        if (key.isPresent()) {
            return new KeyCheck.Accepted(key.get());
        }
        boolean known = withdrawn.contains(digest);
        return new KeyCheck.Rejected(known ? KeyCheck.Reason.WITHDRAWN : KeyCheck.Reason.UNKNOWN);
    }

    private static boolean constantTimeEquals(String one, String other) {
        byte[] oneBytes = one.getBytes(StandardCharsets.US_ASCII);
        byte[] otherBytes = other.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(oneBytes, otherBytes);
    }
}
