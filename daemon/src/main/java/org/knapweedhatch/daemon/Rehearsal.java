package org.knapweedhatch.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.hedge.HedgeSettings;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.platform.wire.DirectoryAnswer;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.steer.BalancingMode;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.Host;

/**
 * Plays some requests through a host on loopback and ends.
 *
 * <p>The build runs it to record the classes that a host loads; with them in an archive, a process that is started anew
 * answers its first requests sooner.
 */
public final class Rehearsal {

    private static final int REQUESTS = 300;
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final long VERSION = 1;
    private static final String DOMAIN = "here-a";

    private final ServerSocket listener;

    private Rehearsal(ServerSocket listener) {
        this.listener = listener;
    }

    /** Runs the rehearsal. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Rehearsal rehearsal = new Rehearsal(socket);
        Thread server = new Thread(rehearsal::accept, "rehearsal");
        server.setDaemon(true);
        server.start();
        rehearsal.play();
    }

    private void play() throws IOException, InterruptedException {
        List<Address> addresses = freeAddresses(5);
        Host host = new Host("rehearsal-1", "here", DOMAIN, addresses.get(0), addresses.get(1));
        Host other = new Host("rehearsal-2", "here", "here-b", address(0), addresses.get(1));
        FrontSettings settings = new FrontSettings(
                host,
                ConnectionLimits.DEFAULT_DESCRIPTORS,
                0,
                addresses.get(2),
                addresses.get(3),
                addresses.get(4),
                List.of(other.peer()),
                address(listener.getLocalPort()),
                Duration.ofSeconds(1),
                "a-secret-of-the-rehearsal",
                Map.of(DOMAIN, "here"),
                DeploymentLimits.standard(),
                BalancingMode.AUTO,
                BalancingMode.OFF,
                HedgeSettings.off());
        EventLog log = EventLog.start(OutputStream.nullOutputStream(), host.name(), TimeSource.system());
        FrontHost running = FrontHost.start(settings, log, TimeSource.system());
        Thread.sleep(SETTLE.toMillis());
        for (int i = 0; i < REQUESTS; i++) {
            call(host.edge(), "/a/" + i, "GET", "");
            call(host.edge(), "/a/" + i, "POST", "body");
        }
        call(addresses.get(2), DirectoryAnswer.READY_PATH, "GET", "");
        call(addresses.get(3), DirectoryAnswer.LOOK_UP_PATH + "?" + DirectoryAnswer.DOMAIN + "=" + DOMAIN, "GET", "");
        call(addresses.get(4), "/-/metrics", "GET", "");
        running.shutDown();
        log.close();
    }

    private static Address address(int port) {
        return new Address(InetAddress.getLoopbackAddress().getHostAddress(), Math.max(1, port));
    }

    private static List<Address> freeAddresses(int count) throws IOException {
        List<Address> addresses = new ArrayList<>();
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(socket);
            addresses.add(address(socket.getLocalPort()));
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return addresses;
    }

    private static void call(Address address, String path, String method, String body) throws IOException {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            HeaderScheme names = PlatformHeaders.scheme();
            String head = String.join(
                    "\r\n",
                    method + " " + path + " HTTP/1.1",
                    "Host: " + ExampleEntries.HOST,
                    names.requestId() + ": 1",
                    names.key() + ": " + ExampleEntries.KEY,
                    names.affinity() + ": o",
                    names.deadlineMs() + ": 1000",
                    "Content-Length: " + body.length(),
                    "Connection: close",
                    "",
                    body);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = listener.accept();
                Thread thread = new Thread(() -> serve(caller), "rehearsal-caller");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the rehearsal's server broke", e);
        }
    }

    /** Answers as the store and as the only target there is. */
    private void serve(Socket caller) {
        try (caller) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                int length = 0;
                for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                    if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(
                                header.substring(header.indexOf(':') + 1).trim());
                    }
                }
                in.skip(length);
                answer(line.split(" ")[1], caller.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The host has closed its connection: the rehearsal ends.
        }
    }

    private void answer(String path, OutputStream out) throws IOException, InterruptedException {
        byte[] body = body(path);
        HeaderScheme names = PlatformHeaders.scheme();
        String head = "HTTP/1.1 200 OK\r\n" + names.requestId() + ": 1\r\n" + names.load() + ": 1,0,5\r\n"
                + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }

    private byte[] body(String path) throws InterruptedException {
        if (!path.startsWith(Wire.ROOT)) {
            return "answer".getBytes(StandardCharsets.US_ASCII);
        }
        if (path.contains(Wire.WATCH + "=")) {
            Thread.sleep(SETTLE.toMillis());
            return Wire.write(Wire.changesNode(new Changes(List.of(), List.of(), VERSION)));
        }
        List<StoredObject> objects = Stream.of(
                        ExampleEntries.configuration(VERSION, VERSION),
                        ExampleEntries.target("i-1", VERSION, address(listener.getLocalPort()), DOMAIN))
                .filter(object -> path.startsWith(Wire.ROOT + Wire.kind(object.name())))
                .toList();
        return Wire.writeListing(new Listing(objects, VERSION));
    }
}
