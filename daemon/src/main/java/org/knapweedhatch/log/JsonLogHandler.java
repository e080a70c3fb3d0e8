package org.knapweedhatch.log;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** Passes the messages of libraries and of parts that log plain sentences on to an event log. */
public final class JsonLogHandler extends Handler {

    private final EventLog log;
    private final SimpleFormatter formatter = new SimpleFormatter();

    private JsonLogHandler(EventLog log) {
        this.log = log;
    }

    /** Creates a handler that writes to a log. */
    public static JsonLogHandler of(EventLog log) {
        return new JsonLogHandler(log);
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        EventLog.Line line = log.line(LineKind.MESSAGE)
                .put("level", record.getLevel().getName())
                .put("logger", record.getLoggerName())
                .put("message", formatter.formatMessage(record));
        Throwable thrown = record.getThrown();
        if (thrown != null) {
            StackTraceElement[] trace = thrown.getStackTrace();
            line.put("thrown", thrown.toString()).put("at", trace.length == 0 ? null : trace[0].toString());
        }
        line.write();
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
