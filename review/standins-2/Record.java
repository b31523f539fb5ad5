import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.println(String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        out.close();
    }
}
