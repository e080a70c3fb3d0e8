package org.knapweedhatch.store;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.knapweedhatch.peer.proto.ListingPartRecord;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.platform.store.Wire;

/**
 * Serves the cached objects of a kind to other hosts in parts: the updates since the version that the other host holds
 * if this host knows them, or else the compressed listing.
 *
 * <p>Safe for use by many threads.
 */
public final class ListingServer {

    /** Largest response in bytes to a host of an earlier version, which fetches a listing as a whole. */
    static final int MAX_RESPONSE_BYTES = 1_000_000;

    /** Bytes of a part, so that heartbeats do not wait for long behind the parts for several hosts. */
    private static final int PART_BYTES = 32_000;

    /** Payloads that are kept so that hosts can fetch all parts of one, although the objects change meanwhile. */
    private static final int MAX_PAYLOADS = 6;

    /** Largest listing that is decompressed, in bytes; the store's responses have the same limit. */
    private static final int MAX_LISTING_BYTES = 64_000_000;

    /** Prefix of the names under which hosts fetch cached objects from each other. */
    private static final String PREFIX = "store/";

    private static final String SINCE = "/since/";
    private static final String FIRST = "/0";

    /** Name of a part behind the first one: of its payload, the number, and the version. */
    private static final Pattern LATER_PART = Pattern.compile("(.+)/(\\d{1,9})/(\\d+/\\d+)");

    private final StoreCache cache;
    private final Map<String, Payload> payloads = new LinkedHashMap<>(MAX_PAYLOADS, 1, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Payload> eldest) {
            return size() > MAX_PAYLOADS;
        }
    };

    /** What is served in parts under a name: updates, or a compressed listing, as of a version. */
    private record Payload(String name, boolean updates, StoreVersion upTo, byte[] bytes) {
        int parts() {
            return Math.max(1, (bytes.length + PART_BYTES - 1) / PART_BYTES);
        }

        String key() {
            return keyOf(name, upTo.toString());
        }
    }

    private ListingServer(StoreCache cache) {
        this.cache = cache;
    }

    /** Creates a server of the objects in a cache. */
    public static ListingServer of(StoreCache cache) {
        return new ListingServer(cache);
    }

    /** Returns the name of the whole listing of a kind. */
    static String nameOf(ObjectKind kind) {
        return PREFIX + kind.name();
    }

    /** Returns the name of the first part of a listing. */
    static String nameOfFirstPart(ObjectKind kind) {
        return nameOf(kind) + FIRST;
    }

    /** Returns the name of the first part of what changed since a version; of a listing if that is unknown. */
    static String nameOfFirstPart(ObjectKind kind, StoreVersion since) {
        return nameOf(kind) + SINCE + since + FIRST;
    }

    /** Returns the name of a part behind the first one, which came under a name. */
    static String nameOfPart(String first, int number, StoreVersion upTo) {
        return baseOf(first) + "/" + number + "/" + upTo;
    }

    private static String baseOf(String first) {
        return first.substring(0, first.length() - FIRST.length());
    }

    private static String keyOf(String name, String upTo) {
        return name + " " + upTo;
    }

    /** Returns what another host fetches by a name; empty for an unknown name, and for what exceeds a message. */
    public Optional<byte[]> serve(String name) {
        for (ObjectKind kind : ObjectKind.values()) {
            if (name.equals(nameOf(kind))) {
                return Optional.of(Wire.writeListing(cache.held(kind)))
                        .filter(json -> json.length <= MAX_RESPONSE_BYTES);
            }
            if (name.equals(nameOfFirstPart(kind))) {
                return Optional.of(firstPart(listing(kind)));
            }
            if (name.startsWith(nameOf(kind) + SINCE) && name.endsWith(FIRST)) {
                return Optional.of(firstPart(updates(kind, baseOf(name)).orElseGet(() -> listing(kind))));
            }
        }
        return laterPart(name);
    }

    private Optional<Payload> updates(ObjectKind kind, String name) {
        return StoreVersion.parse(name.substring((nameOf(kind) + SINCE).length()))
                .map(since -> cache.updatesSince(kind, since))
                .filter(updates -> !updates.isEmpty())
                .map(updates -> {
                    StoreVersion upTo = updates.get(updates.size() - 1).upTo();
                    return new Payload(name, true, upTo, StoreUpdates.encode(updates));
                });
    }

    private synchronized Payload listing(ObjectKind kind) {
        Listing listing = cache.held(kind);
        Payload known = payloads.get(keyOf(nameOf(kind), listing.upTo().toString()));
        return known != null
                ? known
                : new Payload(nameOf(kind), false, listing.upTo(), compress(Wire.writeListing(listing)));
    }

    private synchronized byte[] firstPart(Payload payload) {
        payloads.put(payload.key(), payload);
        return encode(payload, 0);
    }

    /** Returns a part of a payload whose first part was fetched; empty if it is no longer kept. */
    private synchronized Optional<byte[]> laterPart(String name) {
        Matcher part = LATER_PART.matcher(name);
        if (!part.matches()) {
            return Optional.empty();
        }
        int number = Integer.parseInt(part.group(2));
        return Optional.ofNullable(payloads.get(keyOf(part.group(1), part.group(3))))
                .filter(payload -> number < payload.parts())
                .map(payload -> encode(payload, number));
    }

    private static byte[] encode(Payload payload, int number) {
        int from = number * PART_BYTES;
        int length = Math.min(PART_BYTES, payload.bytes().length - from);
        return ListingPartRecord.newBuilder()
                .setParts(payload.parts())
                .setEra(payload.upTo().era())
                .setUpTo(payload.upTo().revision())
                .setUpdates(payload.updates())
                .setBody(ByteString.copyFrom(payload.bytes(), from, length))
                .build()
                .toByteArray();
    }

    private static byte[] compress(byte[] json) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(json);
        } catch (IOException e) {
            throw new UncheckedIOException("bytes in memory cannot be compressed", e);
        }
        return bytes.toByteArray();
    }

    /** Returns the JSON of a listing from all its parts; throws if they are malformed or too large. */
    static byte[] decompress(byte[] parts) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(parts))) {
            byte[] json = in.readNBytes(MAX_LISTING_BYTES + 1);
            if (json.length > MAX_LISTING_BYTES) {
                throw new IOException("listing has more than " + MAX_LISTING_BYTES + " bytes");
            }
            return json;
        }
    }
}
