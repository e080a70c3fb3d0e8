package org.knapweedhatch.cli.replay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.Head;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.world.Configuration;

/** The operators: each looks at the configuration in force, thinks for a moment, and sends a note on top of it. */
final class Operators {

    private static final long THINK_NANOS = Duration.ofMillis(20).toNanos();
    private static final long REPEAT_NANOS = Duration.ofSeconds(2).toNanos();

    private final Stage stage;
    private final ReleaseStore store;
    private long announced;

    Operators(Stage stage, PlatformDoor platform) {
        this.stage = stage;
        store = ReleaseStore.over(platform.direct(), pause -> {});
    }

    /** Accepts the note that declares a whole deployment. */
    void first(Configuration configuration) {
        Acceptance acceptance = store.accept(parse("deployment", DeploymentNote.of(configuration)));
        if (!(acceptance instanceof Acceptance.Accepted)) {
            throw new IllegalStateException("the deployment is not a valid note: " + acceptance);
        }
        announce();
    }

    void send(String operator, Change change) {
        Result<Head> head = store.head();
        if (!head.isOk()) {
            note(operator, "waits, since the platform does not answer");
            stage.queue().after(REPEAT_NANOS, () -> send(operator, change));
            return;
        }
        long seen = head.orThrow().number();
        ReleaseNote note = parse(operator, DeploymentNote.of(change));
        stage.queue().after(THINK_NANOS, () -> accept(operator, change, note, seen));
    }

    private void accept(String operator, Change change, ReleaseNote note, long seen) {
        Acceptance acceptance = store.accept(note, OptionalLong.of(seen));
        note(operator, acceptance.getClass().getSimpleName());
        announce();
        if (acceptance instanceof Acceptance.Unknown || acceptance instanceof Acceptance.Failed) {
            stage.queue().after(REPEAT_NANOS, () -> send(operator, change));
        }
    }

    /** Tells the observers of a configuration that the platform holds and they do not know. */
    private void announce() {
        Result<Configuration> current = store.current();
        if (current.isOk() && current.orThrow().number() > announced) {
            announced = current.orThrow().number();
            stage.observer().accepted(stage.now(), current.orThrow());
        }
    }

    private void note(String operator, String detail) {
        stage.events(operator).record(EventKind.CONFIGURED, "release", detail);
    }

    private static ReleaseNote parse(String file, String text) {
        Checked<ReleaseNote> note = ReleaseNote.parse(file, text.getBytes(StandardCharsets.UTF_8));
        if (note instanceof Checked.Valid<ReleaseNote> valid) {
            return valid.value();
        }
        throw new IllegalStateException("not a valid note: " + note);
    }
}
