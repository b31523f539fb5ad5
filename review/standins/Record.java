package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter writer;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Seconds since the start of the case, on the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String format, Object... arguments) {
        writer.printf(Locale.ROOT, "%8.3f  %s%n", now(), String.format(Locale.ROOT, format, arguments));
    }

    static synchronized void close() {
        writer.close();
    }
}
