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
 * Writes each log entry as one JSON line to standard output, from a thread of its own.
 *
 * <p>The entries of {@link LogEvent} have their number in {@code event}; those of libraries have the name of their class
 * instead. Lines that standard output does not take in time are left out and counted by SP-014.
 */
public final class JsonConsoleWriter implements Writer {
    /** Some megabytes at most; a daemon writes some hundred lines a second. */
    private static final int WAITING_LINES = 4_096;

    /** How long the end of the process waits for a reader that does not take the last lines. */
    private static final long CLOSE_LIMIT_MILLIS = 500;

    private final LineQueue queue = new LineQueue(WAITING_LINES);
    private final OutputStream out;
    private final Thread thread;

    /** Creates the writer; tinylog passes its properties, of which there are none. */
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

    /** Nothing waits for the reader of the log, so there is nothing to flush before the end. */
    @Override
    public void flush() {}

    @Override
    public void close() throws InterruptedException {
        queue.close();
        thread.join(CLOSE_LIMIT_MILLIS);
    }

    static String line(LogEntry entry) {
        JsonLine line = new JsonLine()
                .add("at", entry.getTimestamp().toInstant().toString())
                .add("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        if (LogEvent.isCode(message)) {
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
            for (List<String> lines = queue.take(); !lines.isEmpty(); lines = queue.take()) {
                write(lines);
                long leftOut = queue.takeLeftOut();
                if (leftOut > 0) {
                    LogEvent.LINES_LEFT_OUT.warn(leftOut);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard output is closed, so that no line about it would be read either.
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
