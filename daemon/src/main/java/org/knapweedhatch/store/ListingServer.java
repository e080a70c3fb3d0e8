package org.knapweedhatch.store;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
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
    private static final int MAX_PAYLOADS = 4;

    /** Largest listing that is decompressed, in bytes; the store's responses have the same limit. */
    private static final int MAX_LISTING_BYTES = 64_000_000;

    /** Prefix of the names under which hosts fetch cached objects from each other. */
    private static final String PREFIX = "store/";

    private static final String SINCE = "/since/";
    private static final String FIRST = "/0";

    private final StoreCache cache;
    private final Map<String, Payload> payloads = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Payload> eldest) {
            return size() > MAX_PAYLOADS;
        }
    };

    /** What is served in parts: updates, or a compressed listing, as of a version. */
    private record Payload(boolean updates, StoreVersion upTo, byte[] bytes) {
        int parts() {
            return Math.max(1, (bytes.length + PART_BYTES - 1) / PART_BYTES);
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

    /** Returns the name of a part behind the first one, whose payload is as of a version. */
    static String nameOfPart(String first, int number, StoreVersion upTo) {
        return baseOf(first) + "/" + number + "/" + upTo;
    }

    private static String baseOf(String first) {
        return first.substring(0, first.length() - FIRST.length());
    }

    /** Returns what another host fetches by a name; empty for an unknown name, and for what exceeds a message. */
    public Optional<byte[]> serve(String name) {
        for (ObjectKind kind : ObjectKind.values()) {
            if (name.equals(nameOf(kind))) {
                return Optional.of(Wire.writeListing(cache.held(kind)))
                        .filter(json -> json.length <= MAX_RESPONSE_BYTES);
            }
            if (name.equals(nameOfFirstPart(kind))) {
                return Optional.of(firstPart(name, listing(kind)));
            }
            if (name.startsWith(nameOf(kind) + SINCE) && name.endsWith(FIRST)) {
                Optional<Payload> updates = updates(kind, name);
                return Optional.of(firstPart(name, updates.orElseGet(() -> listing(kind))));
            }
        }
        return laterPart(name);
    }

    private Optional<Payload> updates(ObjectKind kind, String first) {
        String since = baseOf(first).substring((nameOf(kind) + SINCE).length());
        return StoreVersion.parse(since)
                .map(version -> cache.updatesSince(kind, version))
                .filter(updates -> !updates.isEmpty())
                .map(updates ->
                        new Payload(true, updates.get(updates.size() - 1).upTo(), StoreUpdates.encode(updates)));
    }

    private synchronized Payload listing(ObjectKind kind) {
        Listing listing = cache.held(kind);
        Payload known = payloads.get(keyOf(nameOfFirstPart(kind), listing.upTo()));
        return known != null ? known : new Payload(false, listing.upTo(), compress(Wire.writeListing(listing)));
    }

    private static String keyOf(String first, StoreVersion upTo) {
        return baseOf(first) + " " + upTo;
    }

    private synchronized byte[] firstPart(String name, Payload payload) {
        payloads.put(keyOf(name, payload.upTo()), payload);
        return encode(payload, 0);
    }

    /** Returns a part of a payload whose first part was fetched; empty if it is no longer kept. */
    private synchronized Optional<byte[]> laterPart(String name) {
        for (Map.Entry<String, Payload> entry : payloads.entrySet()) {
            Payload payload = entry.getValue();
            String first = entry.getKey().substring(0, entry.getKey().indexOf(' ')) + FIRST;
            for (int number = 1; number < payload.parts(); number++) {
                if (name.equals(nameOfPart(first, number, payload.upTo()))) {
                    return Optional.of(encode(payload, number));
                }
            }
        }
        return Optional.empty();
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
