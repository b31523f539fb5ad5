import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound server of the platform: it has slots and a short queue, echoes the attempt id, signs its answers, tells its
 * load and checks the instance that a request is meant for. Subclasses override what they do otherwise.
 */
class Upstream {
    /** One connection of a caller. */
    final class Connection {
        final Socket socket;
        final BufferedInputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        synchronized void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    final String id;
    final String service;
    final Record record;
    /** How often each attempt id began to run here. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger waiting = new AtomicInteger();
    final int slots;
    final int queue;
    volatile long workMillis;
    volatile String state = "ready";
    private final Semaphore free;
    private final ServerSocket listener;
    private final Store store;
    private final long born = System.currentTimeMillis();

    Upstream(Store store, Record record, String id, String service, int slots, int queue, long workMillis)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    }

    void start() {
        register();
        Stand.daemonThread("server", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Stand.daemonThread("server-connection", () -> serve(new Connection(socket)));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes the entry. Later heartbeats change nothing but its sequence, of which the store tells nobody. */
    final void register() {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"version\":\"v1\""
                        + ",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"warmupLeftS\":0,\"sequence\":1"
                        + ",\"born\":" + born + "}");
    }

    int timesRun(String attempt) {
        AtomicInteger count = runs.get(attempt);
        return count == null ? 0 : count.get();
    }

    String load() {
        return running.get() + "," + waiting.get() + "," + slots + ",100";
    }

    private void serve(Connection connection) throws Exception {
        try {
            while (handleNext(connection)) {}
        } catch (IOException e) {
            // The caller has closed the connection.
        } finally {
            connection.socket.close();
        }
    }

    /** Handles one request; returns whether the connection is kept. */
    boolean handleNext(Connection connection) throws Exception {
        Http.Message request = Http.read(connection.in, false);
        if (request == null) {
            return false;
        }
        if (request.target().equals("/health")) {
            return health(connection);
        }
        String attempt = request.header("Sardinepost-Attempt-Id");
        String target = request.header("Sardinepost-Target-Instance");
        if (target != null && !target.equals(id)) {
            connection.send(refusal("421 Misdirected Request", attempt));
            return true;
        }
        return handle(connection, request, attempt);
    }

    boolean health(Connection connection) throws Exception {
        connection.send("HTTP/1.1 200 OK\r\nSardinepost-Instance-Id: " + id + "\r\nSardinepost-Server-Load: " + load()
                + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    boolean handle(Connection connection, Http.Message request, String attempt) throws Exception {
        if (waiting.incrementAndGet() > queue + free.availablePermits()) {
            waiting.decrementAndGet();
            refuse(connection, attempt);
            return true;
        }
        free.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            run(connection, request, attempt);
        } finally {
            running.decrementAndGet();
            free.release();
        }
        return true;
    }

    void refuse(Connection connection, String attempt) throws Exception {
        record.line("server %s refuses %s: 503, not executed", id, attempt);
        connection.send(refusal("503 Service Unavailable", attempt));
    }

    void run(Connection connection, Http.Message request, String attempt) throws Exception {
        int times = runs.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
        record.line("server %s runs %s %s %s (run %d here)", id, request.method(), request.target(), attempt, times);
        Thread.sleep(workMillis);
        answer(connection, request, attempt);
    }

    void answer(Connection connection, Http.Message request, String attempt) throws Exception {
        connection.send(success(attempt, "result of " + attempt));
    }

    String success(String attempt, String body) {
        return "HTTP/1.1 200 OK\r\nSardinepost-Attempt-Id: " + attempt + "\r\nSardinepost-Response-Signature: sig." + id
                + "." + attempt + "\r\nSardinepost-Server-Load: " + load() + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    String refusal(String status, String attempt) {
        return "HTTP/1.1 " + status + "\r\nSardinepost-Attempt-Id: " + attempt
                + "\r\nSardinepost-Not-Executed: 1\r\nSardinepost-Instance-Id: " + id + "\r\nSardinepost-Server-Load: "
                + load() + "\r\nContent-Length: 0\r\n\r\n";
    }
}
