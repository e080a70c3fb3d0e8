package org.knapweedhatch.cli.replay.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Result;

/** Reads a whole trace and checks what spans its lines: one header first, times that rise, known names. */
public final class TraceReader {

    private static final int MAX_LINE = 10_000;

    private final String file;
    private final Trace.Builder trace = Trace.builder();
    private long number;
    private long latestMicros;
    private TraceLine.Header header;
    private Names names;

    private TraceReader(String file) {
        this.file = file;
    }

    /** Reads a trace from a file. */
    public static Result<Trace> read(Path path) {
        String file = String.valueOf(path.getFileName());
        try (BufferedReader reader = Files.newBufferedReader(path)) {
            return read(file, reader);
        } catch (CharacterCodingException e) {
            return TraceCodec.failed(file, 0, "not UTF-8");
        } catch (IOException e) {
            return TraceCodec.failed(file, 0, "cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Reads a trace from text; {@code file} names it in faults. */
    public static Result<Trace> read(String file, BufferedReader reader) throws IOException {
        TraceReader traceReader = new TraceReader(file);
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            Result<TraceLine> added = traceReader.add(text);
            if (!added.isOk()) {
                return Result.failed(added.fault());
            }
        }
        return traceReader.end();
    }

    private Result<TraceLine> add(String text) {
        number++;
        if (text.length() > MAX_LINE) {
            return TraceCodec.failed(file, number, "longer than " + MAX_LINE + " characters");
        }
        return TraceCodec.decode(file, number, text).then(this::place);
    }

    private Result<TraceLine> place(TraceLine line) {
        if (header == null) {
            if (!(line instanceof TraceLine.Header first)) {
                return TraceCodec.failed(file, number, "type: the first line must be of type trace");
            }
            header = first;
            names = Names.of(first.deployment());
            trace.header(first);
            return Result.ok(line);
        }
        List<String> unknown = new ArrayList<>(names.unknown(line));
        if (!unknown.isEmpty()) {
            return TraceCodec.failed(file, number, unknown.get(0));
        }
        if (line instanceof TraceLine.Header) {
            return TraceCodec.failed(file, number, "type: only the first line is of type trace");
        }
        if (line instanceof TraceLine.Expectation expectation) {
            trace.expectation(expectation);
            return Result.ok(line);
        }
        if (line.atMicros() < latestMicros || line.atMicros() > header.endMicros()) {
            return TraceCodec.failed(file, number, "atMicros: must not fall and not pass the end of the trace");
        }
        latestMicros = line.atMicros();
        trace.line(line);
        return Result.ok(line);
    }

    private Result<Trace> end() {
        return header == null ? TraceCodec.failed(file, 1, "the trace is empty") : Result.ok(trace.build());
    }
}
