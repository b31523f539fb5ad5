import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts daemons with the command and the settings template of the deploy folder, and sends requests to them. */
final class Stand implements AutoCloseable {
    private static final AtomicLong NEXT_ATTEMPT = new AtomicLong(System.nanoTime() & 0xffffff);

    interface Task {
        void run() throws Exception;
    }

    /** A daemon process and its addresses. */
    record Daemon(Process process, String front, String ready, String control, Path log, Path settings) {}

    /** What a client saw: a status with headers and body, or none if the connection ended without a whole answer. */
    record Answer(String attempt, int status, Http.Message message, String failure, double seconds) {}

    private final Path directory;
    private final Record record;
    private final List<Daemon> daemons = new ArrayList<>();

    Stand(Record record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("review-2-");
    }

    static Thread daemonThread(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                if (!(e instanceof IOException)) {
                    e.printStackTrace();
                }
            }
        }, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Starts daemons that find each other by the control address of the first ones. */
    List<Daemon> startDaemons(int count, String storeAddress) throws Exception {
        List<String[]> addresses = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add(new String[] {freeAddress(), freeAddress(), freeAddress()});
            if (i < 3) {
                seeds.add(addresses.get(i)[2]);
            }
        }
        for (String[] address : addresses) {
            daemons.add(startDaemon(address, seeds, storeAddress));
        }
        for (Daemon daemon : daemons) {
            awaitReady(daemon);
        }
        return daemons;
    }

    Daemon startDaemon(String[] address, List<String> seeds, String storeAddress) throws Exception {
        Map<String, String> values = Map.of(
                "listen.front", address[0],
                "listen.ready", address[1],
                "listen.control", address[2],
                "zone", "zone-a",
                "region", "region-a",
                "platform.address", storeAddress,
                "seeds", String.join(",", seeds));
        String settings = fill(Files.readString(Path.of("deploy/settings.ini.template")), values);
        Path file = directory.resolve("settings-" + daemons.size() + "-" + System.nanoTime() + ".ini");
        Files.writeString(file, settings);
        return startDaemon(address, file);
    }

    /** Starts a daemon that has ended again, with the same settings, as the platform does. */
    Daemon restart(Daemon ended) throws Exception {
        Daemon started = startDaemon(new String[] {ended.front(), ended.ready(), ended.control()}, ended.settings());
        synchronized (this) {
            daemons.add(started);
        }
        return started;
    }

    private Daemon startDaemon(String[] address, Path file) throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        List<String> command = new ArrayList<>(
                List.of(run.group(1).replace("/etc/sardinepost/boot.toml", file.toString()).split(" ")));
        Path log = directory.resolve(file.getFileName() + "-" + System.nanoTime() + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("SARDINEPOST_BOOT", file.toString());
        builder.environment().put("SARDINEPOST_CPU_SHARE", "0.6");
        builder.environment().put("SARDINEPOST_CPU_SPEED", "1");
        Process process = builder.start();
        record.line("daemon with front %s started, pid %d", address[0], process.pid());
        return new Daemon(process, address[0], address[1], address[2], log, file);
    }

    private static String fill(String template, Map<String, String> values) {
        String filled = template;
        for (Map.Entry<String, String> value : values.entrySet()) {
            filled = filled.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return filled;
    }

    void awaitReady(Daemon daemon) throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < untilNanos) {
            if (ready(daemon)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("the daemon at " + daemon.front() + " is not ready after 20 s: "
                + Files.readString(daemon.log()));
    }

    static boolean ready(Daemon daemon) {
        try (Socket socket = connect(daemon.ready())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    static Socket connect(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Waits as a Retry-After header asks, in seconds with fractions; at most a third of a usual deadline. */
    static void pause(String retryAfter) {
        double seconds = retryAfter == null ? 0.05 : Double.parseDouble(retryAfter);
        try {
            Thread.sleep((long) (1_000 * Math.min(0.5, seconds)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String newAttempt() {
        return String.format("%016x", NEXT_ATTEMPT.incrementAndGet());
    }

    /** Sends one request on a new connection and waits for its answer until a little after the deadline. */
    Answer call(Daemon daemon, String method, String host, String path, long deadlineMillis, String body) {
        String attempt = newAttempt();
        long startNanos = System.nanoTime();
        record.line("client sends %s %s %s to %s", method, path, attempt, daemon.front());
        try (Socket socket = connect(daemon.front())) {
            socket.setSoTimeout((int) deadlineMillis + 2_000);
            String request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nSardinepost-Attempt-Id: "
                    + attempt + "\r\nSardinepost-Deadline-Ms: " + deadlineMillis + "\r\n"
                    + (body == null ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                    + (body == null ? "" : body);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) {
                throw new IOException("the connection was closed without an answer");
            }
            return recorded(new Answer(attempt, answer.status(), answer, "", seconds(startNanos)));
        } catch (IOException e) {
            return recorded(new Answer(attempt, 0, null, String.valueOf(e), seconds(startNanos)));
        }
    }

    private Answer recorded(Answer answer) {
        record.line(
                "client gets %s for %s after %.3f s%s",
                answer.status() == 0 ? "no answer" : answer.status(),
                answer.attempt(),
                answer.seconds(),
                answer.status() == 0 ? ": " + answer.failure() : "");
        return answer;
    }

    private static double seconds(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static String route(String name, String host, String prefix, String type, String service, double timeout, int attempts) {
        return "\"" + name + "\":{\"host\":\"" + host + "\",\"prefix\":\"" + prefix + "\",\"routeType\":\"" + type
                + "\",\"timeoutS\":" + timeout + ",\"targetLatencyS\":0.5,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":" + attempts + "}";
    }

    static String configuration(int version, List<String> routes, List<String> services) {
        List<String> entries = new ArrayList<>();
        for (String service : services) {
            entries.add("\"" + service + "\":{\"healthPath\":\"/health\",\"maxConns\":220,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":\"r" + version + "\",\"routes\":{" + String.join(",", routes) + "},\"services\":{"
                + String.join(",", entries)
                + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
    }

    /** Whether the disruption is played; without it the case must pass. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The case could not be played. */
    @SuppressWarnings("serial")
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Case {
        /** Plays the case; returns whether the rule held. */
        boolean play(Record record, Stand stand) throws Exception;
    }

    /** Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Path folder, Case played) throws Exception {
        int code = 2;
        try (Record record = new Record(folder.resolve("record.txt"))) {
            Stand stand = new Stand(record);
            Thread ending = new Thread(stand::close);
            Runtime.getRuntime().addShutdownHook(ending);
            try {
                code = played.play(record, stand) ? 0 : 1;
                record.line("the rule %s", code == 0 ? "held" : "was BROKEN");
            } catch (Exception e) {
                record.line("the case could not run: %s", e);
                e.printStackTrace();
            } finally {
                stand.close();
            }
        }
        Runtime.getRuntime().halt(code);
    }

    @Override
    public synchronized void close() {
        for (Daemon daemon : daemons) {
            daemon.process().destroyForcibly();
        }
        for (Daemon daemon : daemons) {
            try {
                daemon.process().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + directory);
            return;
        }
        File[] files = directory.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                file.delete();
            }
        }
        directory.toFile().delete();
    }
}
