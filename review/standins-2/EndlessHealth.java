import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six servers answers its health checks for some seconds with interim responses without end. Clients keep their
 * connections. The daemon is started again whenever it ends.
 */
final class EndlessHealth {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 24;
    private static final long WORK_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final double TIMEOUT_SECONDS = 1.2;
    private static final double FINAL_ANSWER_SECONDS = TIMEOUT_SECONDS + 0.5;
    private static final long CALL_INTERVAL_MILLIS = 400;
    private static final double TROUBLE_AT_SECONDS = 8;
    private static final double TROUBLE_SECONDS = 5.5;
    private static final double LENGTH_SECONDS = 25;
    private static final long RESTART_DELAY_MILLIS = 1_000;

    /** So many requests without a final answer break the rule if they are over a quarter of those that last too long. */
    private static final int MIN_UNANSWERED = 8;

    /** What a link of 1,000 Mbit/s carries, for all connections of the server. */
    private static final long BYTES_PER_MILLI = 125_000;

    private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

    private static volatile boolean ended;

    private EndlessHealth() {}

    public static void main(String[] arguments) throws Exception {
        Stand.main(Path.of(arguments[0]), EndlessHealth::play);
    }

    private static final class Troubled extends Upstream {
        volatile boolean endless;
        private final AtomicInteger open = new AtomicInteger();
        private long paidNanos = System.nanoTime();

        Troubled(Store store, Record record, String id) throws IOException {
            super(store, record, id, "catalogue", 3, 6, WORK_MILLIS);
        }

        @Override
        boolean health(Connection connection) throws Exception {
            if (!endless) {
                return super.health(connection);
            }
            byte[] bytes = INTERIM.repeat((64 << 10) / INTERIM.length()).getBytes(StandardCharsets.ISO_8859_1);
            record.line("server %s begins an endless health answer, %d are open", id, open.incrementAndGet());
            long sent = 0;
            try {
                while (true) {
                    pay(bytes.length);
                    connection.out.write(bytes);
                    sent += bytes.length;
                }
            } finally {
                record.line(
                        "the caller ended an endless health answer of %s after %d KB, %d are open",
                        id, sent >> 10, open.decrementAndGet());
            }
        }

        private void pay(int bytes) throws InterruptedException {
            long waitNanos;
            synchronized (this) {
                paidNanos = Math.max(paidNanos, System.nanoTime() - 2_000_000) + bytes * 1_000_000L / BYTES_PER_MILLI;
                waitNanos = paidNanos - System.nanoTime();
            }
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
        }
    }

    /** A client that keeps its connection; it opens a new one after it was closed. */
    private static final class Client {
        private final Record record;
        private final String front;
        private Socket socket;
        private BufferedInputStream in;
        int served;
        int failed;
        int unansweredAtTimeout;
        int unansweredLater;

        Client(Record record, String front) {
            this.record = record;
            this.front = front;
        }

        void run() throws InterruptedException {
            Thread.sleep((long) (Math.random() * CALL_INTERVAL_MILLIS));
            while (!ended) {
                long startNanos = System.nanoTime();
                call();
                long spentMillis = (System.nanoTime() - startNanos) / 1_000_000;
                Thread.sleep(Math.max(1, CALL_INTERVAL_MILLIS - spentMillis));
            }
        }

        private void call() {
            String attempt = Stand.newAttempt();
            long startNanos = System.nanoTime();
            try {
                if (socket == null) {
                    socket = Stand.connect(front);
                    socket.setSoTimeout((int) DEADLINE_MILLIS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                record.line("client sends GET /lepu270/a %s", attempt);
                socket.getOutputStream()
                        .write(("GET /lepu270/a HTTP/1.1\r\nHost: jepu9.example\r\nSardinepost-Attempt-Id: " + attempt
                                        + "\r\nSardinepost-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.read(in, true);
                if (answer == null) {
                    throw new IOException("closed without an answer");
                }
                count(attempt, startNanos, true, String.valueOf(answer.status()));
                served += answer.status() == 200 ? 1 : 0;
                failed += answer.status() == 200 ? 0 : 1;
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    close();
                }
            } catch (IOException e) {
                failed++;
                count(attempt, startNanos, false, "no answer (" + e.getMessage() + ")");
                close();
            }
        }

        private void count(String attempt, long startNanos, boolean answered, String what) {
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            boolean late = seconds > TIMEOUT_SECONDS;
            boolean unanswered = late && (!answered || seconds > FINAL_ANSWER_SECONDS);
            unansweredAtTimeout += late ? 1 : 0;
            unansweredLater += unanswered ? 1 : 0;
            record.line(
                    "client gets %s for %s after %.3f s%s",
                    what, attempt, seconds, unanswered ? ": NO FINAL ANSWER 0.5 s after timeoutS" : "");
        }

        private void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // Closed by the other side.
            }
            socket = null;
        }
    }

    private static boolean play(Record record, Stand stand) throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                Stand.configuration(
                        7,
                        List.of(Stand.route("r-1", "jepu9.example", "/lepu270/", "safe", "catalogue", TIMEOUT_SECONDS, 2)),
                        List.of("catalogue")));
        Troubled troubled = new Troubled(store, record, "i-00000001");
        troubled.start();
        for (int i = 2; i <= SERVERS; i++) {
            Upstream server = new Upstream(store, record, "i-0000000" + i, "catalogue", 3, 6, WORK_MILLIS);
            server.start();
        }
        Stand.Daemon daemon = stand.startDaemons(1, store.address()).get(0);
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(record, daemon.front());
            clients.add(client);
            threads.add(Stand.daemonThread("client", client::run));
        }
        long startNanos = System.nanoTime();
        int ends = 0;
        for (double seconds = 0; seconds < LENGTH_SECONDS; seconds = (System.nanoTime() - startNanos) / 1e9) {
            boolean trouble = Stand.trouble()
                    && seconds >= TROUBLE_AT_SECONDS
                    && seconds < TROUBLE_AT_SECONDS + TROUBLE_SECONDS;
            if (trouble != troubled.endless) {
                troubled.endless = trouble;
                record.line("health answers of %s are %s from now on", troubled.id, trouble ? "endless" : "sound");
            }
            if (!daemon.process().isAlive()) {
                ends++;
                record.line("THE DAEMON HAS ENDED BY ITSELF, exit code %d; its last lines:", daemon.process().exitValue());
                List<String> log = Files.readAllLines(daemon.log());
                log.subList(Math.max(0, log.size() - 2), log.size()).forEach(line -> record.line("  %s", line));
                Thread.sleep(RESTART_DELAY_MILLIS);
                daemon = stand.restart(daemon);
            }
            Thread.sleep(20);
        }
        ended = true;
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        int late = clients.stream().mapToInt(client -> client.unansweredAtTimeout).sum();
        int unanswered = clients.stream().mapToInt(client -> client.unansweredLater).sum();
        record.line(
                "%d served, %d failed; %d unanswered at timeoutS, %d of them without a final answer 0.5 s later; the daemon"
                        + " ended %d times by itself",
                clients.stream().mapToInt(client -> client.served).sum(),
                clients.stream().mapToInt(client -> client.failed).sum(),
                late,
                unanswered,
                ends);
        return unanswered < MIN_UNANSWERED || 4 * unanswered <= late;
    }
}
