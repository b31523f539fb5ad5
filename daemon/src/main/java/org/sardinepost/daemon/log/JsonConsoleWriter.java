package org.sardinepost.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one JSON line to standard output from a dedicated thread.
 *
 * <p>Entries of a {@link LogEvent} have its code in the member {@code event}; entries of libraries have the member {@code class}
 * instead. If standard output is too slow, lines are dropped and their number is reported by SP-014.
 */
public final class JsonConsoleWriter implements Writer {
    /** Takes a few megabytes at most; a daemon writes several hundred lines per second. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Limits how long process exit waits until the reader of standard output has taken the last lines. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final BoundedLineQueue queue = new BoundedLineQueue(QUEUE_CAPACITY);
    private final OutputStream out;
    private final Thread thread;

    /** Creates the writer with the properties from tinylog, none of which are used. */
    public JsonConsoleWriter(Map<String, String> properties) {
        this(new FileOutputStream(FileDescriptor.out));
    }

    JsonConsoleWriter(OutputStream out) {
        this.out = out;
        thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        queue.add(line(entry));
    }

    /** Does nothing: the writer thread flushes the output, and callers do not wait for the reader of the log. */
    @Override
    public void flush() {}

    @Override
    public void close() throws InterruptedException {
        queue.close();
        thread.join(CLOSE_TIMEOUT_MILLIS);
    }

    static String line(LogEntry entry) {
        JsonLineBuilder line = new JsonLineBuilder()
                .add("at", entry.getTimestamp().toInstant().toString())
                .add("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        if (LogEvent.startsWithCode(message)) {
            line.add("event", message.substring(0, LogEvent.CODE_LENGTH));
            message = message.substring(LogEvent.CODE_LENGTH).trim();
        } else {
            line.add("class", entry.getClassName());
        }
        if (message.startsWith("{")) {
            line.addMembers(message);
        } else {
            line.add("message", message);
        }
        if (entry.getException() != null) {
            line.add("exception", stackTrace(entry.getException()));
        }
        return line.toString();
    }

    private static String stackTrace(Throwable exception) {
        StringWriter text = new StringWriter();
        exception.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }

    private void run() {
        try {
            for (List<String> lines = queue.takeAll(); !lines.isEmpty(); lines = queue.takeAll()) {
                write(lines);
                long dropped = queue.takeDroppedCount();
                if (dropped > 0) {
                    LogEvent.LOG_LINES_DROPPED.warn(dropped);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard output is closed, so the failure cannot be logged either.
            queue.close();
        }
    }

    private void write(List<String> lines) throws IOException {
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line).append('\n'));
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
