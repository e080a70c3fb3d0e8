package org.knapweedhatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.settings.ExampleSettings;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Address;

/** The end of a host that runs in this virtual machine. */
class FrontHostTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long POLL_MS = 10;

    /** Guards against an exit of the virtual machine that takes 300 ms more, for threads in a system call. */
    @Test
    void noThreadOfAHostWaitsInTheSystemAfterAStop() throws Exception {
        Set<Thread> others;
        Set<Thread> started;
        try (PlatformStandIn store = PlatformStandIn.start("127.0.0.1", 0, "", platform());
                EventLog log = EventLog.start(new ByteArrayOutputStream(), "lima-a-1", TimeSource.system())) {
            FrontSettings settings = settings(store.uri().getAuthority());
            Thread.sleep(POLL_MS);
            others = new HashSet<>(Thread.getAllStackTraces().keySet());
            FrontHost host = FrontHost.start(settings, log, TimeSource.system());
            await(() -> listens(settings));
            started = inSystemCalls(others).keySet();
            host.leave();
            started.retainAll(inSystemCalls(others).keySet());
        }
        assertFalse(others.isEmpty());
        assertEquals(Set.of(), started.stream().map(Thread::getName).collect(Collectors.toSet()));
    }

    private static MemoryPlatform platform() {
        MemoryPlatform platform = MemoryPlatform.create();
        StoredObject configuration = ExampleEntries.configuration(1, 1, TIMEOUT, TIMEOUT);
        platform.create(configuration.name(), configuration.body());
        return platform;
    }

    private static FrontSettings settings(String store) throws IOException {
        List<String> lines = ExampleSettings.LINES.stream()
                .map(line -> line.startsWith("address =") ? "address = " + store : line)
                .map(line -> line.startsWith("seeds =") ? "seeds = 127.0.0.1:" + freePort() : line)
                .map(line -> line.contains("127.0.0.11:") ? line.replaceAll("= .*", "= 127.0.0.1:" + freePort()) : line)
                .map(line -> line.startsWith("stop-grace =") ? "stop-grace = 1s" : line)
                .toList();
        return IniFile.parse("host.ini", String.join("\n", lines).getBytes(StandardCharsets.UTF_8))
                .then(FrontSettings::check)
                .orThrow();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean listens(FrontSettings settings) {
        Address edge = settings.host().edge();
        try (Socket socket = new Socket(edge.ip(), edge.port())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static void await(Supplier<Boolean> condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.get()) {
            assertFalse(System.nanoTime() > end, "not in time");
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns the threads in a system call, but for some; those that wait for a monitor or are parked are in none. */
    private static Map<Thread, StackTraceElement[]> inSystemCalls(Set<Thread> except) {
        Map<Thread, StackTraceElement[]> found = new HashMap<>(Thread.getAllStackTraces());
        found.keySet().removeAll(except);
        found.values().removeIf(stack -> stack.length == 0 || !stack[0].isNativeMethod() || waits(stack[0]));
        return found;
    }

    private static boolean waits(StackTraceElement frame) {
        return Set.of("java.lang.Object", "java.lang.Thread", "jdk.internal.misc.Unsafe")
                .contains(frame.getClassName());
    }
}
