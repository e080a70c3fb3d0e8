import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes what was sent, answered and run, with the seconds since the start, and counts the runs of each attempt. */
final class Record {

    private final long start = System.nanoTime();
    private final PrintWriter out;
    private final Queue<Run> allRuns = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start. */
    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1000.0, text));
        out.flush();
    }

    /** Writes a line here and to standard output. */
    void say(String text) {
        System.out.println(text);
        line(text);
    }

    /** One run of an attempt at a server. */
    record Run(String server, String attempt, long atMs) {}

    /** Records that a server began to work on an attempt. */
    void ran(String server, String attempt) {
        allRuns.add(new Run(server, attempt, millis()));
        runs.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns all runs so far. */
    List<Run> allRuns() {
        return List.copyOf(allRuns);
    }

    int runs(String attempt) {
        AtomicInteger count = runs.get(attempt);
        return count == null ? 0 : count.get();
    }
}
