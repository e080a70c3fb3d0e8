import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, servers and entry hosts. Hosts run the command of
 * deploy/system.toml with the template deploy/front.ini filled in.
 */
final class Deployment implements AutoCloseable {

    /** Bounds of the small deployments. */
    static final long DRAIN_MS = 2_500;

    static final long STABLE_WINDOW_MS = 4_000;
    static final long CONFIG_APPLY_MS = 2_500;

    private static final Map<String, String> ZONES =
            Map.of("lima-cercado", "lima", "arequipa-centro", "arequipa", "trujillo-centro", "trujillo");

    final Record record;
    final Store store;
    final List<Target> targets = new ArrayList<>();
    private final Path root;
    private final Path temporary;
    private final String net;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** An entry host: its process and its addresses. */
    record Front(String name, String ip, Process process) {
        InetSocketAddress edge() {
            return new InetSocketAddress(ip, 8686);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, 8680);
        }
    }

    Deployment(Path root, Record record, int storePage) throws IOException {
        this.root = root;
        this.record = record;
        temporary = Files.createTempDirectory("knapweedhatch-review");
        net = freeNet();
        store = new Store(ip(7), 8682, storePage, 4);
        // Also where the run is ended from outside or takes too long.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /** Picks a part of the loopback network on which the ports of the deployment are free. */
    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 50; tries++) {
            String net = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            boolean free = true;
            for (int port : new int[] {8680, 8682, 8684, 8686, 8688, 9464}) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(net + "1", port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return net;
            }
        }
        throw new IOException("no free ports");
    }

    String ip(int number) {
        return net + number;
    }

    /** Starts a server and registers it. */
    Target target(String id, String service, String zone, int slots) throws IOException {
        Target target = new Target(id, service, zone, ip(100), slots, record);
        targets.add(target);
        store.put("servers", id, target.entry(false));
        return target;
    }

    /** Writes the operator's configuration. */
    void configure(String json) {
        store.put("config", "main", Json.parse(json));
    }

    /** Starts an entry host in a zone. */
    Front front(int number, String zone) throws IOException {
        String name = "front-" + zone + "-" + number;
        Path settings = temporary.resolve(name + ".ini");
        Files.writeString(settings, settings(name, ip(number), zone));
        List<String> command = new ArrayList<>(List.of(command().split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        temporary.resolve(name + ".log").toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KNAPWEEDHATCH_CONFIG", settings.toString());
        Process process = builder.start();
        processes.add(process);
        record.line("start " + name + " pid " + process.pid());
        return new Front(name, ip(number), process);
    }

    /** Returns the log of a host so far. */
    String log(Front front) throws IOException {
        return Files.readString(temporary.resolve(front.name() + ".log"));
    }

    private String command() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        return matcher.group(1);
    }

    private String settings(String name, String ip, String zone) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("NodeName", name);
        values.put("Region", ZONES.get(zone));
        values.put("Zone", zone);
        values.put("Ip", ip);
        values.put("Listen.Front", ip + ":8686");
        values.put("Listen.Ready", ip + ":8680");
        values.put("Listen.Directory", ip + ":8684");
        values.put("Listen.Control", ip + ":8688");
        values.put("Limits.MaxFds", "4100");
        values.put("Limits.CpuShare", "1");
        values.put("Limits.Cores", "1");
        values.put("Limits.MemoryMb", "512");
        values.put("Limits.LinkMbps", "100");
        values.put("Platform.Address", ip(7) + ":8682");
        values.put("Heartbeat", "1500ms");
        values.put("Seeds", ip(1) + ":8688");
        values.put("Bounds.Grace", "6s");
        values.put("Bounds.Drain", "2500ms");
        values.put("Bounds.ttl_max", "5s");
        values.put("Bounds.RetryBudgetRatio", "0.2");
        values.put("Bounds.RetryBudgetSlack", "58");
        values.put("Bounds.BudgetWindow", "10s");
        values.put("Bounds.QuotaWindow", "5s");
        values.put("Bounds.QuotaOverage", "0.1");
        values.put("Bounds.QuotaSlack", "20");
        values.put("Bounds.ColdOverage", "1.5");
        values.put("Bounds.ColdSlack", "5");
        values.put("Bounds.MaxShift", "0.15");
        String template = Files.readString(root.resolve("deploy/front.ini"));
        StringBuilder zones = new StringBuilder();
        ZONES.forEach((one, region) -> zones.append(one).append(" = ").append(region).append('\n'));
        template = template.replaceAll("(?s)\\{\\{#Zones}}.*?\\{\\{/Zones}}", zones.toString());
        Matcher matcher = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
        return matcher.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1))));
    }

    /** Waits until a host answers its readiness check with 200; throws after 30 s. */
    void awaitReady(Front front) throws IOException {
        long until = record.millis() + 30_000;
        while (record.millis() < until) {
            if (isReady(front)) {
                record.line("ready " + front.name());
                return;
            }
            Threads.sleep(50);
        }
        throw new IOException(front.name() + " is not ready after 30 s");
    }

    private static boolean isReady(Front front) {
        try (Socket socket = new Socket()) {
            socket.connect(front.ready(), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message head = Http.head(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this deployment started. */
    void signal(Front front, String signal) throws IOException {
        record.line("signal " + signal + " to " + front.name());
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(front.process().pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends all processes and servers; removes the temporary files unless {@code KEEP=1}. */
    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        targets.forEach(Target::end);
        store.stop();
        if ("1".equals(System.getenv("KEEP"))) {
            System.out.println("kept " + temporary);
            return;
        }
        try (var files = Files.list(temporary)) {
            files.forEach(file -> file.toFile().delete());
            Files.delete(temporary);
        } catch (IOException e) {
            System.out.println("not removed: " + temporary);
        }
    }
}
