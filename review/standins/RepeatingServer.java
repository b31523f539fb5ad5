package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that doesn't tell its load, whose health path waits for a slot or is rejected like any other request, and
 * that sends a second copy of some answers late, where the next response on the connection is expected.
 */
final class RepeatingServer extends AppServer {
    /** The largest share of its answers that a server repeats. */
    private static final double MAX_SHARE = 0.03;

    private final boolean repeats;
    private final Set<OutputStream> owesCopy = Collections.synchronizedSet(
            Collections.newSetFromMap(new IdentityHashMap<>()));
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();

    RepeatingServer(Store store, boolean repeats) throws IOException {
        super(store, "shop", "zone-a", 2, 1, 100, false);
        this.repeats = repeats;
    }

    int copies() {
        return copies.get();
    }

    int answers() {
        return answers.get();
    }

    @Override
    protected void answerHealth(OutputStream out) throws IOException {
        answers.incrementAndGet();
        if (runInSlot(() -> {})) {
            super.answerHealth(out);
            return;
        }
        Record.line("server %s: rejects a health request", id);
        writeRejection(out);
        if (repeats && copies.get() < MAX_SHARE * answers.get()) {
            copies.incrementAndGet();
            owesCopy.add(out);
        }
    }

    @Override
    protected void accepted(String attempt, OutputStream out) throws IOException {
        answers.incrementAndGet();
        if (owesCopy.remove(out)) {
            Record.line("server %s: repeats the rejection of a health request while it runs %s", id, attempt);
            writeRejection(out);
        }
    }

    private void writeRejection(OutputStream out) throws IOException {
        write(out, "503 Service Unavailable", "Sardinepost-Not-Executed: 1\r\n");
    }
}
