package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: a daemon, started with the command and the settings template of the deploy file. */
final class Node {
    final String name;
    final int frontPort = freePort();
    final int readyPort = freePort();
    final int controlPort = freePort();
    private final Path root;
    private final Path directory;
    private final Path settings;
    private volatile Process process;
    private int starts;
    private boolean stopped;
    private volatile boolean rotation = true;

    Node(String name, Path root, Path directory) {
        this.name = name;
        this.root = root;
        this.directory = directory;
        this.settings = directory.resolve(name + ".ini");
    }

    String control() {
        return "127.0.0.1:" + controlPort;
    }

    /** Fills the settings template; {@code seeds} are the control addresses of some machines. */
    void writeSettings(String storeAddress, List<String> seeds) throws IOException {
        Map<String, String> values = Map.of(
                "listen.front", "127.0.0.1:" + frontPort,
                "listen.ready", "127.0.0.1:" + readyPort,
                "listen.control", control(),
                "zone", "zone-a",
                "region", "region-a",
                "platform.address", storeAddress,
                "seeds", String.join(",", seeds));
        String template = Files.readString(root.resolve("deploy/settings.ini.template"));
        Matcher placeholder = Pattern.compile("\\{\\{([a-z.]+)}}").matcher(template);
        String text = placeholder.replaceAll(match -> Matcher.quoteReplacement(values.get(match.group(1))));
        Files.writeString(settings, text);
    }

    synchronized void start() throws IOException {
        if (stopped) {
            return;
        }
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        List<String> command = new ArrayList<>(List.of(
                run.group(1).replace("/etc/sardinepost/boot.toml", settings.toString()).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SARDINEPOST_BOOT", settings.toString());
        File log = directory.resolve(name + "." + ++starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        Record.line("%s: started, pid %d", name, process.pid());
    }

    Path log() {
        return directory.resolve(name + "." + starts + ".log");
    }

    void signal(String signal) throws IOException, InterruptedException {
        Record.line("%s: SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    int awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Ends the machine; it is not started again. */
    synchronized void end() {
        stopped = true;
        stop();
    }

    private void stop() {
        if (process != null) {
            process.destroyForcibly();
            rotation = false;
        }
    }

    /** Returns whether the platform sends new connections here: not after two questions in a row without a 200. */
    boolean inRotation() {
        return rotation;
    }

    /** Asks once a second, as the platform does, whether the machine is ready. */
    void watchReadiness() {
        Listener.start(() -> {
            int misses = 0;
            while (true) {
                misses = ready() ? 0 : misses + 1;
                rotation = misses < 2;
                AppServer.sleep(1000);
            }
        });
    }

    /** Stops the machine as the platform does, with SIGTERM and after graceS with SIGKILL, and starts it again. */
    void restart(long graceMillis) throws IOException, InterruptedException {
        signal("TERM");
        int code = awaitExit(graceMillis);
        Record.line("%s: ended with code %d", name, code);
        stop();
        AppServer.sleep(500);
        start();
    }

    /** Asks as the platform does whether the machine is ready. */
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return Http.read(socket.getInputStream(), true).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    boolean awaitReady(double seconds) {
        double end = Record.now() + seconds;
        while (Record.now() < end) {
            if (ready()) {
                Record.line("%s: ready", name);
                return true;
            }
            AppServer.sleep(50);
        }
        return false;
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
