package org.knapweedhatch.cli.replay.trace;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.helper.Validate;

/** A whole trace: its header, what happens by rising time, and what is expected of it. */
public final class Trace {

    private final TraceLine.Header header;
    private final List<TraceLine> lines;
    private final List<TraceLine.Expectation> expectations;

    private Trace(Builder builder) {
        header = Validate.notNull(builder.header, "header");
        lines = List.copyOf(builder.lines);
        expectations = List.copyOf(builder.expectations);
    }

    /** Returns a builder of a trace. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the first line. */
    public TraceLine.Header header() {
        return header;
    }

    /** Returns arrivals, failures and releases by rising time. */
    public List<TraceLine> lines() {
        return lines;
    }

    /** Returns the stated outcomes. */
    public List<TraceLine.Expectation> expectations() {
        return expectations;
    }

    /** Appends the trace as JSON lines. */
    public void write(Appendable out) {
        try {
            out.append(TraceCodec.encode(header)).append('\n');
            for (TraceLine.Expectation expectation : expectations) {
                out.append(TraceCodec.encode(expectation)).append('\n');
            }
            for (TraceLine line : lines) {
                out.append(TraceCodec.encode(line)).append('\n');
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Gathers the lines of a trace. */
    public static final class Builder {
        private TraceLine.Header header;
        private final List<TraceLine> lines = new ArrayList<>();
        private final List<TraceLine.Expectation> expectations = new ArrayList<>();

        private Builder() {}

        /** Sets the first line. */
        public Builder header(TraceLine.Header line) {
            header = line;
            return this;
        }

        /** Adds something that happens, not before the one added last. */
        public Builder line(TraceLine line) {
            lines.add(line);
            return this;
        }

        /** Adds a stated outcome. */
        public Builder expectation(TraceLine.Expectation line) {
            expectations.add(line);
            return this;
        }

        /** Builds the trace. */
        public Trace build() {
            return new Trace(this);
        }
    }
}
