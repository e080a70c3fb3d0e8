package org.knapweedhatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.settings.ExampleSettings;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.world.Address;

/** Guards against clients of the operators' pages that take descriptors or memory for good. */
class FrontPagesTest {

    private static final int READ_TIMEOUT_MS = 30_000;

    private FrontSettings settings;
    private FrontPages pages;

    @BeforeEach
    void start() throws IOException {
        List<String> lines = new ArrayList<>(ExampleSettings.LINES);
        lines.replaceAll(line -> line.matches("(ready|directory|metrics) = .*")
                ? line.replaceAll("= .*", "= 127.0.0.1:" + freePort())
                : line);
        settings = IniFile.parse("host.ini", String.join("\n", lines).getBytes(StandardCharsets.UTF_8))
                .then(FrontSettings::check)
                .orThrow();
        pages = FrontPages.listen(
                settings,
                () -> true,
                () -> {
                    throw new IllegalStateException("no look-up is made");
                },
                Admin.builder().build(),
                TimeSource.system());
    }

    @AfterEach
    void stop() {
        pages.stop();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Socket send(Address address, String text) throws IOException {
        Socket socket = new Socket(address.ip(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    @Test
    void connectionWhoseHeadDoesNotEndIsClosed() throws IOException {
        try (Socket socket = send(settings.ready(), "GET /ready HTTP/1.1\r\nHost: a\r\n")) {
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void headThatIsTooLargeIsRefused() throws IOException {
        String head = "GET /ready HTTP/1.1\r\nHost: a\r\nX: " + "a".repeat(100_000) + "\r\n\r\n";
        try (Socket socket = send(settings.ready(), head)) {
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 4"), response);
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("reset") || e.getMessage().contains("pipe"), e.getMessage());
        }
    }
}
