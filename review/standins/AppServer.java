package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server of the platform: registers itself in the store and answers as PROTOCOL.md says. */
class AppServer {
    /** A request that reached the server; status 200 means that it ran. */
    record Arrival(double at, String attempt, int status) {}

    private static final AtomicInteger LAST_ID = new AtomicInteger();

    final String id = String.format("i-%08x", 0x7f3a9100 + LAST_ID.incrementAndGet());
    final List<Arrival> arrivals = new ArrayList<>();
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final long workMillis;
    private final boolean tellsLoad;
    private final long born = System.currentTimeMillis();
    private final Listener listener;
    private final Semaphore places;
    private final Semaphore slotPermits;
    private volatile String state = "ready";
    private volatile boolean registered = true;
    private int sequence;

    AppServer(Store store, String service, String zone, int slots, int queue, long workMillis, boolean tellsLoad)
            throws IOException {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.tellsLoad = tellsLoad;
        this.places = new Semaphore(slots + queue);
        this.slotPermits = new Semaphore(slots, true);
        this.listener = new Listener(this::serve);
        register();
    }

    String address() {
        return listener.address();
    }

    /** Writes the entry every heartbeat, as long as the server is registered. */
    void beat(double heartbeatS) {
        Listener.start(() -> {
            while (registered) {
                sleep((long) (heartbeatS * 1000));
                register();
            }
        });
    }

    private synchronized void register() {
        if (registered) {
            store.put("servers/" + id, entry(address()));
        }
    }

    private String entry(String address) {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"warmupLeftS\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** Reports that the server is draining; it goes on serving. */
    synchronized void drain() {
        state = "draining";
        register();
    }

    /** Removes the entry without having reported that the server is draining; it goes on serving. */
    synchronized void leave() {
        registered = false;
        store.remove("servers/" + id);
    }

    private void serve(InputStream in, OutputStream out) throws IOException {
        for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
            answer(request, out);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        if (request.word(1).equals("/health")) {
            answerHealth(out);
            return;
        }
        String attempt = request.header("Sardinepost-Attempt-Id");
        String target = request.header("Sardinepost-Target-Instance");
        if (attempt == null) {
            write(out, "400 Bad Request", "Sardinepost-Not-Executed: 1\r\n");
            return;
        }
        String echo = "Sardinepost-Attempt-Id: " + attempt + "\r\n";
        if (target != null && !target.equals(id)) {
            record(attempt, 421);
            write(out, "421 Misdirected Request", echo + "Sardinepost-Not-Executed: 1\r\n");
            return;
        }
        boolean ran = runInSlot(() -> {
            record(attempt, 200);
            accepted(attempt, out);
            sleep(workMillis);
        });
        if (!ran) {
            record(attempt, 503);
            write(out, "503 Service Unavailable", echo + "Sardinepost-Not-Executed: 1\r\n");
            return;
        }
        write(out, "200 OK", echo + "Sardinepost-Response-Signature: " + id + "." + attempt + "\r\n", body(attempt));
    }

    /** Work that may write to its connection. */
    interface Work {
        void run() throws IOException;
    }

    /** Runs the work once a slot is free; returns false without running it if the server is full. */
    protected final boolean runInSlot(Work work) throws IOException {
        if (!places.tryAcquire()) {
            return false;
        }
        try {
            slotPermits.acquireUninterruptibly();
            try {
                work.run();
            } finally {
                slotPermits.release();
            }
        } finally {
            places.release();
        }
        return true;
    }

    protected void answerHealth(OutputStream out) throws IOException {
        boolean well = state.equals("ready");
        write(out, well ? "200 OK" : "503 Service Unavailable", "Sardinepost-Instance-Id: " + id + "\r\n");
    }

    /** Returns the body of the answer to a request that ran. */
    protected byte[] body(String attempt) {
        return ("done " + attempt).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Called when a request begins to run. */
    protected void accepted(String attempt, OutputStream out) throws IOException {}

    protected void write(OutputStream out, String status, String headers) throws IOException {
        write(out, status, headers, new byte[0]);
    }

    private void write(OutputStream out, String status, String headers, byte[] body) throws IOException {
        String load = tellsLoad
                ? "Sardinepost-Server-Load: " + (slots - slotPermits.availablePermits()) + ","
                        + Math.max(0, slots + queue - places.availablePermits()
                                - (slots - slotPermits.availablePermits())) + "," + slots + ",100\r\n"
                : "";
        String text = "HTTP/1.1 " + status + "\r\n" + headers + load + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    private void record(String attempt, int status) {
        synchronized (arrivals) {
            arrivals.add(new Arrival(Record.now(), attempt, status));
        }
        Record.line("server %s (%s): request %s %s", id, service, attempt, status == 200 ? "runs" : "refused " + status);
    }

    List<Arrival> arrivalsAfter(double time) {
        synchronized (arrivals) {
            return arrivals.stream().filter(arrival -> arrival.at() > time).toList();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
