package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.StoreChangesRecord;
import org.knapweedhatch.peer.proto.StoreStatusRecord;
import org.knapweedhatch.peer.proto.StoreUpdateRecord;
import org.knapweedhatch.peer.proto.StoredObjectRecord;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.store.ObjectKind;
import org.knapweedhatch.store.StoreChanges;
import org.knapweedhatch.store.StoreStatus;
import org.knapweedhatch.store.StoreUpdate;
import org.knapweedhatch.store.StoreUpdates;

/** The messages about the platform's store from the hosts that watch it. */
public final class StoreCodec implements PeerCodec {

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        80,
                        StoreChanges.class,
                        StoreCodec::changes,
                        body -> changes(StoreChangesRecord.parseFrom(body))),
                new MessageKind<>(
                        81,
                        StoreStatus.class,
                        message -> StoreStatusRecord.newBuilder()
                                .setReachable(message.reachable())
                                .build(),
                        body -> new StoreStatus(
                                StoreStatusRecord.parseFrom(body).getReachable())),
                new MessageKind<>(
                        82,
                        StoreUpdate.class,
                        StoreUpdates::toRecord,
                        body -> StoreUpdates.fromRecord(StoreUpdateRecord.parseFrom(body))));
    }

    private static StoreChangesRecord changes(StoreChanges message) {
        StoreChangesRecord.Builder record = StoreChangesRecord.newBuilder()
                .setKind(message.kind().ordinal())
                .setFromVersion(message.fromVersion())
                .setUpTo(message.changes().asOf())
                .setEra(message.changes().era())
                .addAllDeleted(message.changes().deleted());
        message.changes()
                .changed()
                .forEach(object -> record.addChanged(StoredObjectRecord.newBuilder()
                        .setName(object.name())
                        .setVersion(object.version())
                        .setBody(ByteString.copyFrom(object.body()))));
        return record.build();
    }

    private static StoreChanges changes(StoreChangesRecord record) {
        ObjectKind[] kinds = ObjectKind.values();
        Validate.isTrue(record.getKind() >= 0 && record.getKind() < kinds.length, "unknown kind %d", record.getKind());
        List<StoredObject> changed = record.getChangedList().stream()
                .map(object -> new StoredObject(
                        object.getName(), object.getVersion(), object.getBody().toByteArray()))
                .toList();
        return new StoreChanges(
                kinds[record.getKind()],
                Validate.notNegative(record.getFromVersion(), "from version"),
                new Changes(
                        changed,
                        record.getDeletedList(),
                        Validate.notNegative(record.getEra(), "era"),
                        Validate.notNegative(record.getUpTo(), "up to")));
    }
}
