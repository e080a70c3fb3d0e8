package org.knapweedhatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.settings.ExampleSettings;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.world.DeploymentLimits;

class SettingsFollowerTest {

    private static final String GOOD = String.join("\n", ExampleSettings.LINES) + "\n";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(lines, "test", TimeSource.system());
    private final List<DeploymentLimits> handed = new ArrayList<>();
    private Path file;
    private SettingsFollower follower;
    private int writes;

    @BeforeEach
    void start() throws IOException {
        file = folder.resolve("host.ini");
        write(GOOD);
        follower = SettingsFollower.of(file, FrontSettings.read(file).orThrow(), log, handed::add);
    }

    private void write(String text) throws IOException {
        Files.writeString(file, text);
        // Two writes within the file system's resolution would look like one.
        Files.setLastModifiedTime(file, FileTime.from(Instant.ofEpochSecond(1_000 + ++writes)));
    }

    private String logged() {
        log.close();
        return lines.toString(StandardCharsets.UTF_8);
    }

    @Test
    void newTermsComeIntoForceWithoutASignal() throws IOException {
        follower.poll();
        assertEquals(List.of(), handed);
        write(GOOD.replace("stop-grace = 6s", "stop-grace = 3s"));
        follower.poll();
        follower.poll();
        assertEquals(1, handed.size());
        assertEquals(Duration.ofSeconds(3), handed.get(0).stopGrace());
        assertTrue(logged().contains("\"outcome\":\"reloaded\",\"cause\":\"file changed\",\"newTerms\":true"));
    }

    @Test
    void changesThatNeedAStartAreNamed() throws IOException {
        write(GOOD.replace("127.0.0.12:8081", "127.0.0.14:8081").replace("lima-a = lima", "lima-b = lima"));
        follower.reload("SIGHUP");
        String logged = logged();
        assertTrue(logged.contains("\"newTerms\":false,\"waitForRestart\":\"seeds domains\""), logged);
    }

    @Test
    void faultyFileChangesNothingAndEveryFaultIsLogged() throws IOException {
        write(GOOD.replace("stop-grace = 6s", "stop-grace = soon").replace("heartbeat = 1500ms", "heartbeat = x"));
        follower.reload("SIGHUP");
        assertEquals(List.of(), handed);
        String logged = logged();
        assertTrue(logged.contains("stop-grace") && logged.contains("heartbeat"), logged);
    }

    @Test
    void fileThatIsAwayForAMomentIsReadOnceItIsBack() throws IOException {
        Files.delete(file);
        follower.poll();
        assertEquals(List.of(), handed);
        write(GOOD.replace("stop-grace = 6s", "stop-grace = 4s"));
        follower.poll();
        assertEquals(Duration.ofSeconds(4), handed.get(0).stopGrace());
    }
}
