package org.knapweedhatch.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * Writes one JSON object a line to a stream, from a bounded queue and on a thread of its own.
 *
 * <pre>{@code
 * EventLog log = EventLog.start(System.out, "front-1", time);
 * log.line(LineKind.REFUSED).put("request", id).put("reason", "quota").write();
 * }</pre>
 *
 * <p>A line that finds the queue full, or its kind above its rate, is counted and left out; the next line that is
 * written after it says how many were left out. Safe for use by many threads; no call blocks.
 */
public final class EventLog implements AutoCloseable {

    /** Lines that may wait for the writer; some seconds of lines under full load. */
    private static final int QUEUE_LINES = 4_096;

    /** Longest time that the writer waits for more lines before it flushes what it has. */
    private static final long FLUSH_MS = 100;

    /** Bytes of lines that are written at once; a pipe takes as much without blocking. */
    private static final int BATCH_BYTES = 4 * 1_024;

    /** First size of a line's buffer, in bytes; most lines fit. */
    private static final int LINE_BYTES = 256;

    private static final JsonFactory JSON = new JsonFactory();

    private final OutputStream out;
    private final String host;
    private final TimeSource time;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final LongAdder dropped = new LongAdder();
    private final LongAdder written = new LongAdder();
    private final Map<LineKind, LineRate> rates = new EnumMap<>(LineKind.class);
    private final Thread writer;
    private volatile boolean closed;

    private EventLog(OutputStream out, String host, TimeSource time) {
        this.out = out;
        this.host = host;
        this.time = time;
        for (LineKind kind : LineKind.values()) {
            rates.put(kind, new LineRate(kind.linesPerSecond(), time));
        }
        writer = new Thread(this::run, "log");
        writer.setDaemon(true);
    }

    /** Starts to write the lines of a host to a stream. */
    public static EventLog start(OutputStream out, String host, TimeSource time) {
        Validate.notNull(out, "out");
        EventLog log = new EventLog(out, Validate.notEmpty(host, "host"), Validate.notNull(time, "time"));
        log.writer.start();
        return log;
    }

    /** Begins a line; one whose kind is above its rate takes its fields and is then left out. */
    public Line line(LineKind kind) {
        if (!rates.get(kind).take()) {
            dropped.increment();
            return Line.LEFT_OUT;
        }
        return new Line(this, kind);
    }

    /** Returns how many lines were left out since the start. */
    public long dropped() {
        return dropped.sum();
    }

    /** Returns how many lines were queued since the start. */
    public long written() {
        return written.sum();
    }

    private void offer(byte[] line) {
        if (queue.offer(line)) {
            written.increment();
        } else {
            dropped.increment();
        }
    }

    private void run() {
        ByteArrayOutputStream batch = new ByteArrayOutputStream(BATCH_BYTES);
        long reported = 0;
        try {
            while (!closed || !queue.isEmpty()) {
                byte[] line = queue.poll(FLUSH_MS, TimeUnit.MILLISECONDS);
                while (line != null && batch.size() < BATCH_BYTES) {
                    batch.writeBytes(line);
                    line = queue.poll();
                }
                if (line != null) {
                    batch.writeBytes(line);
                }
                long lost = dropped.sum();
                if (lost > reported && batch.size() > 0) {
                    batch.writeBytes(new Line(this, LineKind.DROPPED)
                            .put("lines", lost - reported)
                            .bytes());
                    reported = lost;
                }
                batch.writeTo(out);
                out.flush();
                batch.reset();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Nobody reads the lines any more; there is no other place to say so.
            closed = true;
        }
    }

    /** Writes what is queued and ends the thread. */
    @Override
    public void close() {
        closed = true;
        // Wakes the writer, which otherwise waits for a line.
        queue.offer(new byte[0]);
        try {
            writer.join(TimeUnit.SECONDS.toMillis(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One line while it is put together; for one thread. */
    public static final class Line {
        private static final Line LEFT_OUT = new Line();

        private final EventLog log;
        private final ByteArrayOutputStream bytes;
        private final JsonGenerator json;

        private Line() {
            log = null;
            bytes = null;
            json = null;
        }

        private Line(EventLog log, LineKind kind) {
            this.log = log;
            bytes = new ByteArrayOutputStream(LINE_BYTES);
            try {
                json = JSON.createGenerator(bytes);
                json.writeStartObject();
                json.writeStringField("time", log.time.now().toString());
                json.writeStringField("host", log.host);
                json.writeStringField("event", kind.text());
            } catch (IOException e) {
                throw new UncheckedIOException("a line in memory is always written", e);
            }
        }

        /** Adds a text; null is left out. */
        public Line put(String field, String value) {
            if (json != null && value != null) {
                write(() -> json.writeStringField(field, value));
            }
            return this;
        }

        /** Adds a whole number. */
        public Line put(String field, long value) {
            if (json != null) {
                write(() -> json.writeNumberField(field, value));
            }
            return this;
        }

        /** Adds a number with three decimals. */
        public Line put(String field, double value) {
            if (json != null) {
                write(() -> json.writeNumberField(field, Math.round(value * 1_000) / 1_000.0));
            }
            return this;
        }

        /** Adds a span of time in milliseconds, as a field whose name ends in {@code Ms}. */
        public Line putNanos(String field, long nanos) {
            return put(field, nanos / 1e6);
        }

        /** Adds a truth value. */
        public Line put(String field, boolean value) {
            if (json != null) {
                write(() -> json.writeBooleanField(field, value));
            }
            return this;
        }

        /** Hands the line to the writer. */
        public void write() {
            if (json != null) {
                log.offer(bytes());
            }
        }

        private byte[] bytes() {
            write(() -> {
                json.writeEndObject();
                json.close();
            });
            bytes.write('\n');
            return bytes.toByteArray();
        }

        /** Writes to the generator, which has a buffer in memory. */
        private interface Step {
            void run() throws IOException;
        }

        private static void write(Step step) {
            try {
                step.run();
            } catch (IOException e) {
                throw new UncheckedIOException("a line in memory is always written", e);
            }
        }
    }
}
