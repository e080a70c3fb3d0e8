package org.knapweedhatch.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedhatch.daemon.Main;
import org.knapweedhatch.platform.wire.DirectoryAnswer;
import org.knapweedhatch.world.Address;

/** One host as a real process, started again and again with the same settings; on either interface. */
final class HostProcess {

    private static final Duration START = Duration.ofSeconds(60);

    /** State of an open connection in the system's table. */
    private static final String ESTABLISHED = "01";

    /** Addresses and the path at which a host says whether it takes requests. */
    record Addresses(Address edge, Address peer, Address ready, String readyPath, Address directory, Address metrics) {}

    private final String name;
    private final Path settings;
    private final Path output;
    private final Addresses addresses;
    private List<String> memoryFlags = List.of("-Xmx160m");
    /** Limit of descriptors that the system sets the process; 0 for none. */
    private int systemDescriptors;

    private volatile Process process;
    private volatile long startNanos;
    private volatile long stopNanos;

    private HostProcess(String name, Path folder, Addresses addresses) {
        this.name = name;
        this.addresses = addresses;
        settings = folder.resolve(name + ".ini");
        output = folder.resolve(name + ".log");
    }

    /** Writes the settings of hosts that know each other, one a name. */
    static List<HostProcess> create(Path folder, List<String> names, Address platform, Duration grace)
            throws IOException {
        List<Integer> ports = freePorts(names.size() * 5);
        String seeds = "127.0.0.1:" + ports.get(1);
        List<HostProcess> hosts = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            List<Integer> own = ports.subList(i * 5, i * 5 + 5);
            String name = names.get(i);
            Addresses addresses = new Addresses(
                    local(own.get(0)),
                    local(own.get(1)),
                    local(own.get(2)),
                    DirectoryAnswer.READY_PATH,
                    local(own.get(3)),
                    local(own.get(4)));
            HostProcess host = new HostProcess(name, folder, addresses);
            Files.write(
                    host.settings,
                    List.of(
                            "[host]",
                            "name = " + name,
                            "region = lima",
                            "failure-domain = lima-a",
                            "edge = 127.0.0.1:" + own.get(0),
                            "peer = 127.0.0.1:" + own.get(1),
                            "descriptors = 4096",
                            "[listen]",
                            "ready = 127.0.0.1:" + own.get(2),
                            "directory = 127.0.0.1:" + own.get(3),
                            "metrics = 127.0.0.1:" + own.get(4),
                            "[platform]",
                            "address = " + platform,
                            "heartbeat = 1500ms",
                            "[fleet]",
                            "secret = soak-secret-of-the-hosts",
                            "seeds = " + seeds,
                            "[domains]",
                            "lima-a = lima",
                            "[terms]",
                            "stop-grace = " + grace.toMillis() + "ms",
                            "drain-time = 3000ms"));
            hosts.add(host);
        }
        return hosts;
    }

    /** Writes the settings of one host with the project's own interface, whose pages are at the callers' address. */
    static HostProcess createEntryHost(Path folder, Address platform, Duration drain, Duration stop)
            throws IOException {
        List<Integer> ports = freePorts(2);
        Address edge = local(ports.get(0));
        Addresses addresses = new Addresses(edge, local(ports.get(1)), edge, "/-/ready", edge, edge);
        HostProcess host = new HostProcess("entry-host", folder, addresses);
        Files.write(
                host.settings,
                List.of(
                        "[host]",
                        "name = entry-host",
                        "region = lima",
                        "failure-domain = lima-a",
                        "edge = " + addresses.edge(),
                        "peer = " + addresses.peer(),
                        "[platform]",
                        "address = " + platform,
                        "[fleet]",
                        "secret = soak-secret-of-the-hosts",
                        "[drain]",
                        "time = " + drain.toMillis() + "ms",
                        "stop-timeout = " + stop.toMillis() + "ms"));
        return host;
    }

    private static Address local(int port) {
        return new Address("127.0.0.1", port);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Starts the process with another limit of its heap, which is that of its direct memory too. */
    HostProcess heapMb(int limit) {
        memoryFlags = List.of("-Xmx" + limit + "m");
        return this;
    }

    /** Starts the process with the limits of memory of a deployment. */
    HostProcess deployedMemory() throws IOException {
        Path deploy = Path.of("..", "deploy");
        memoryFlags = Files.readAllLines(deploy.resolve("system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .flatMap(line -> Stream.of(line.split("[ \"]+")))
                .filter(word ->
                        word.startsWith("-Xmx") || word.matches("-XX:.*(DirectMemory|NativeHeap|Unrecognized).*"))
                .toList();
        for (String line : Files.readAllLines(deploy.resolve("front.ini"))) {
            if (line.startsWith("buffer-mb")) {
                hostSetting(line);
            }
        }
        return this;
    }

    private void hostSetting(String line) throws IOException {
        String text = Files.readString(settings);
        Files.writeString(settings, text.replace("[host]\n", "[host]\n" + line + "\n"));
    }

    /** Changes the limit of descriptors in the settings. */
    HostProcess descriptors(int limit) throws IOException {
        String text = Files.readString(settings);
        Files.writeString(settings, text.replace("descriptors = 4096", "descriptors = " + limit));
        return this;
    }

    /** States the machine's memory in the settings. */
    HostProcess memoryMb(int limit) throws IOException {
        hostSetting("memory-mb = " + limit);
        return this;
    }

    /** Lets the system limit the descriptors of the process. */
    HostProcess systemDescriptors(int limit) {
        systemDescriptors = limit;
        return this;
    }

    /** Returns the most memory that the process has had so far, in megabytes. */
    long residentPeakMb() throws IOException {
        return statusMb("VmHWM:");
    }

    /** Returns the memory that the process has, in megabytes. */
    long residentMb() throws IOException {
        return statusMb("VmRSS:");
    }

    private long statusMb(String field) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1_024)
                .findFirst()
                .orElseThrow();
    }

    /** Returns how many bytes the system has received for the process that it has not read, in megabytes. */
    long unreadMb() throws IOException {
        Set<Integer> ports = Stream.of(
                        addresses.edge(),
                        addresses.peer(),
                        addresses.ready(),
                        addresses.directory(),
                        addresses.metrics())
                .map(Address::port)
                .collect(Collectors.toSet());
        long bytes = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.trim().split("[ :]+");
                // Number, local address and port, remote address and port, state, bytes to send, bytes to read.
                if (fields[0].matches("\\d+") && ports.contains(Integer.parseInt(fields[2], 16))) {
                    bytes += fields[5].equals(ESTABLISHED) ? Long.parseLong(fields[7], 16) : 0;
                }
            }
        }
        return bytes >> 20;
    }

    /** Returns the number of files and connections that the process has open. */
    long openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return open.count();
        }
    }

    /** Returns a gauge of the process; -1 if it does not show its metrics. */
    double gauge(String gauge) {
        String prefix = "knapweedhatch_" + gauge + " ";
        try (Stream<String> lines = metrics()) {
            return lines.filter(line -> line.startsWith(prefix))
                    .mapToDouble(line -> Double.parseDouble(line.substring(prefix.length())))
                    .findFirst()
                    .orElse(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    private Stream<String> metrics() throws IOException {
        URI uri = URI.create("http://" + addresses.metrics() + "/-/metrics");
        HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
        connection.setConnectTimeout(1_000);
        connection.setReadTimeout(1_000);
        try (InputStream body = connection.getInputStream()) {
            return new String(body.readAllBytes(), StandardCharsets.UTF_8).lines();
        }
    }

    String name() {
        return name;
    }

    Address edge() {
        return addresses.edge();
    }

    Addresses addresses() {
        return addresses;
    }

    /** Returns when the process was started last, as a reading of {@link System#nanoTime}. */
    long startNanos() {
        return startNanos;
    }

    /** Returns when the host last got SIGTERM, as a reading of {@link System#nanoTime}; 0 if it has not. */
    long stopNanos() {
        return stopNanos;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void start() throws IOException {
        stopNanos = 0;
        startNanos = System.nanoTime();
        List<String> command = new ArrayList<>();
        if (systemDescriptors > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -n " + systemDescriptors + " && exec \"$@\"", "--"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(memoryFlags);
        command.addAll(List.of(
                "-Xss256k",
                "-XX:+UseSerialGC",
                // A host whose heap is used up is not sound, even if it goes on.
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "--settings",
                settings.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
    }

    /** Waits until the host takes requests. */
    void awaitReady() {
        long end = System.nanoTime() + START.toNanos();
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(name + " was not ready in time; its output: " + output);
            }
            Threads.sleep(50);
        }
    }

    /** Returns whether the host says that it takes requests. */
    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://" + addresses.ready() + addresses.readyPath())
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void stop() {
        if (stopNanos == 0) {
            stopNanos = System.nanoTime();
        }
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Sends SIGHUP. */
    void reload() {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits for the end of the process; returns whether it ended within a time. */
    boolean awaitEnd(Duration within) {
        try {
            return process.waitFor(within.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    int exitValue() {
        return process.exitValue();
    }
}
