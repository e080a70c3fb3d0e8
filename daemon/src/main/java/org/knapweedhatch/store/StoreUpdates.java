package org.knapweedhatch.store;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.ObjectDeltaRecord;
import org.knapweedhatch.peer.proto.StoreUpdateRecord;
import org.knapweedhatch.peer.proto.StoreUpdatesRecord;
import org.knapweedhatch.platform.BodyDelta;
import org.knapweedhatch.platform.ObjectDelta;
import org.knapweedhatch.platform.StoreVersion;

/** Updates in the form in which hosts send them to each other. */
public final class StoreUpdates {

    private static final int FIELDS_PER_RANGE = 3;

    private StoreUpdates() {}

    /** Returns the bytes of several updates. */
    static byte[] encode(List<StoreUpdate> updates) {
        StoreUpdatesRecord.Builder record = StoreUpdatesRecord.newBuilder();
        updates.forEach(update -> record.addUpdates(toRecord(update)));
        return record.build().toByteArray();
    }

    /** Reads several updates; malformed ones end in either exception. */
    static List<StoreUpdate> decode(byte[] bytes) throws InvalidProtocolBufferException {
        return StoreUpdatesRecord.parseFrom(bytes).getUpdatesList().stream()
                .map(StoreUpdates::fromRecord)
                .toList();
    }

    /** Returns the record of an update. */
    public static StoreUpdateRecord toRecord(StoreUpdate update) {
        StoreUpdateRecord.Builder record = StoreUpdateRecord.newBuilder()
                .setKind(update.kind().ordinal())
                .setFromVersion(update.fromVersion())
                .setEra(update.upTo().era())
                .setUpTo(update.upTo().revision())
                .addAllDeleted(update.deleted());
        update.changed().forEach(delta -> record.addChanged(toRecord(delta)));
        return record.build();
    }

    private static ObjectDeltaRecord toRecord(ObjectDelta delta) {
        ObjectDeltaRecord.Builder record = ObjectDeltaRecord.newBuilder()
                .setName(delta.name())
                .setVersion(delta.version())
                .setBaseVersion(delta.baseVersion())
                .setLiterals(ByteString.copyFrom(delta.body().literals()))
                .setLength(delta.body().length())
                .setChecksum(delta.body().checksum());
        delta.body()
                .ranges()
                .forEach(range -> record.addRanges(range.literals())
                        .addRanges(range.offset())
                        .addRanges(range.length()));
        return record.build();
    }

    /** Returns the update in a record; throws {@link IllegalArgumentException} if a field is out of range. */
    public static StoreUpdate fromRecord(StoreUpdateRecord record) {
        ObjectKind[] kinds = ObjectKind.values();
        Validate.isTrue(record.getKind() >= 0 && record.getKind() < kinds.length, "unknown kind %d", record.getKind());
        return new StoreUpdate(
                kinds[record.getKind()],
                Validate.notNegative(record.getFromVersion(), "from version"),
                record.getChangedList().stream().map(StoreUpdates::fromRecord).toList(),
                record.getDeletedList(),
                new StoreVersion(
                        Validate.notNegative(record.getEra(), "era"), Validate.notNegative(record.getUpTo(), "up to")));
    }

    private static ObjectDelta fromRecord(ObjectDeltaRecord record) {
        List<Integer> fields = record.getRangesList();
        Validate.isTrue(fields.size() % FIELDS_PER_RANGE == 0, "ranges of %d fields", fields.size());
        List<BodyDelta.Range> ranges = new ArrayList<>();
        for (int i = 0; i < fields.size(); i += FIELDS_PER_RANGE) {
            ranges.add(new BodyDelta.Range(fields.get(i), fields.get(i + 1), fields.get(i + 2)));
        }
        BodyDelta body =
                BodyDelta.of(ranges, record.getLiterals().toByteArray(), record.getLength(), record.getChecksum());
        return new ObjectDelta(
                record.getName(),
                Validate.notNegative(record.getVersion(), "version"),
                Validate.notNegative(record.getBaseVersion(), "base version"),
                body);
    }
}
