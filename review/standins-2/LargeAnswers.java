import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Clients with kept connections fetch reports in chunks, of a little under 4 MiB; then more clients come. */
final class LargeAnswers {
    private static final int SERVERS = 6;
    private static final int USUAL_CLIENTS = 8;

    /** 1.8 times the usual ones, rounded down. */
    private static final int BURST_CLIENTS = 14;

    private static final int CHUNK_BYTES = 15_300;
    private static final int CHUNKS = 274;
    private static final long WORK_MILLIS = 20;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final double BURST_AT_SECONDS = 10;
    private static final double LENGTH_SECONDS = 25;
    private static final long RESTART_DELAY_MILLIS = 1_000;
    private static final int MAX_LOST = 3;

    /** Less than a link of 1,000 Mbit/s carries, for all answers together. */
    private static final long BYTES_PER_MILLI = 110_000;

    private static volatile boolean ended;
    private static long paidNanos = System.nanoTime();

    private LargeAnswers() {}

    public static void main(String[] arguments) throws Exception {
        Stand.main(Path.of(arguments[0]), LargeAnswers::play);
    }

    private static void pay(int bytes) throws InterruptedException {
        long waitNanos;
        synchronized (LargeAnswers.class) {
            paidNanos = Math.max(paidNanos, System.nanoTime() - 2_000_000) + bytes * 1_000_000L / BYTES_PER_MILLI;
            waitNanos = paidNanos - System.nanoTime();
        }
        if (waitNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
    }

    private static final class ReportServer extends Upstream {
        private final byte[] chunk = (Integer.toHexString(CHUNK_BYTES) + "\r\n" + "r".repeat(CHUNK_BYTES) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);

        ReportServer(Store store, Record record, String id) throws IOException {
            super(store, record, id, "souhrny", 4, 8, WORK_MILLIS);
        }

        @Override
        void answer(Connection connection, Http.Message request, String attempt) throws Exception {
            connection.send("HTTP/1.1 200 OK\r\nSardinepost-Attempt-Id: " + attempt
                    + "\r\nSardinepost-Response-Signature: sig." + id + "." + attempt + "\r\nSardinepost-Server-Load: "
                    + load() + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < CHUNKS; i++) {
                pay(chunk.length);
                connection.out.write(chunk);
            }
            connection.send("0\r\n\r\n");
        }
    }

    private static final class Client {
        private final Record record;
        private final String front;
        private final List<Upstream> servers;
        int served;
        int failed;
        int lost;

        Client(Record record, String front, List<Upstream> servers) {
            this.record = record;
            this.front = front;
            this.servers = servers;
        }

        void run() throws InterruptedException {
            while (!ended) {
                int answers = 0;
                String attempt = "";
                try (Socket socket = Stand.connect(front)) {
                    socket.setSoTimeout((int) DEADLINE_MILLIS + 1_000);
                    BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
                    for (boolean kept = true; kept && !ended; answers++) {
                        attempt = Stand.newAttempt();
                        kept = call(socket, in, attempt);
                    }
                } catch (IOException e) {
                    failed++;
                    String tried = attempt;
                    boolean passedOn = servers.stream().anyMatch(server -> server.timesRun(tried) > 0);
                    boolean closed = !(e instanceof java.net.SocketTimeoutException);
                    boolean isLost = closed && passedOn && answers > 0;
                    lost += isLost ? 1 : 0;
                    record.line(
                            "client gets no whole answer for %s (%s)%s",
                            attempt, e.getMessage(), isLost ? ": LOST, kept connection, passed on" : "");
                    Thread.sleep(50);
                }
            }
        }

        private boolean call(Socket socket, BufferedInputStream in, String attempt) throws IOException {
            record.line("client sends GET /report/a %s", attempt);
            socket.getOutputStream()
                    .write(("GET /report/a HTTP/1.1\r\nHost: jepu9.example\r\nSardinepost-Attempt-Id: " + attempt
                                    + "\r\nSardinepost-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in, true);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            record.line("client gets %d with %d bytes for %s", answer.status(), answer.body().length, attempt);
            served += answer.status() == 200 ? 1 : 0;
            failed += answer.status() == 200 ? 0 : 1;
            return !"close".equalsIgnoreCase(answer.header("Connection"));
        }
    }

    private static boolean play(Record record, Stand stand) throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                Stand.configuration(
                        7,
                        List.of(Stand.route("r-1", "jepu9.example", "/report/", "safe", "souhrny", 5, 2)),
                        List.of("souhrny")));
        List<Upstream> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            Upstream server = new ReportServer(store, record, "i-0000000" + i);
            server.start();
            servers.add(server);
        }
        Stand.Daemon daemon = stand.startDaemons(1, store.address()).get(0);
        List<Client> clients = new ArrayList<>();
        int ends = 0;
        long startNanos = System.nanoTime();
        for (double seconds = 0; seconds < LENGTH_SECONDS; seconds = (System.nanoTime() - startNanos) / 1e9) {
            int wanted = Stand.trouble() && seconds >= BURST_AT_SECONDS ? BURST_CLIENTS : USUAL_CLIENTS;
            while (clients.size() < wanted) {
                Client client = new Client(record, daemon.front(), servers);
                clients.add(client);
                Stand.daemonThread("client", client::run);
            }
            if (!daemon.process().isAlive()) {
                ends++;
                record.line("THE DAEMON HAS ENDED BY ITSELF, exit code %d; its last line:", daemon.process().exitValue());
                List<String> log = Files.readAllLines(daemon.log());
                record.line("  %s", log.get(log.size() - 1));
                Thread.sleep(RESTART_DELAY_MILLIS);
                daemon = stand.restart(daemon);
            }
            Thread.sleep(20);
        }
        ended = true;
        Thread.sleep(2_000);
        int lost = clients.stream().mapToInt(client -> client.lost).sum();
        record.line(
                "%d served, %d failed; %d requests of kept connections lost after they were passed on; the daemon ended %d"
                        + " times by itself",
                clients.stream().mapToInt(client -> client.served).sum(),
                clients.stream().mapToInt(client -> client.failed).sum(),
                lost,
                ends);
        return lost <= MAX_LOST;
    }
}
