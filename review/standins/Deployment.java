package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, servers and machines of the system. */
final class Deployment implements AutoCloseable {
    /** The exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    final List<AppServer> servers = new ArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path directory = Files.createTempDirectory("review");
    private final Path root;

    Deployment(Path root) throws IOException {
        this.root = root;
        // For a case that is interrupted; a case that ends by itself ends its processes before.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endNodes));
    }

    /** Starts machines, the first of which are the seeds, and waits until all are ready. */
    boolean startNodes(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            nodes.add(new Node("front-" + i, root, directory));
        }
        List<String> seeds = nodes.stream().limit(3).map(Node::control).toList();
        for (Node node : nodes) {
            node.writeSettings(store.address(), seeds);
            node.start();
        }
        boolean ready = nodes.stream().allMatch(node -> node.awaitReady(15));
        nodes.forEach(Node::watchReadiness);
        return ready;
    }

    /** The body of a configuration with one route, which goes to one service. */
    static String configuration(String version, String routeType, double timeoutS, int maxAttempts) {
        return "{\"version\":\"" + version + "\",\"routes\":{\"r-1\":{\"host\":\"shop.example\",\"prefix\":\"/shop/\","
                + "\"routeType\":\"" + routeType + "\",\"timeoutS\":" + timeoutS
                + ",\"targetLatencyS\":0.4,\"priority\":1,\"service\":\"shop\",\"maxAttempts\":" + maxAttempts
                + "}},\"services\":{\"shop\":{\"healthPath\":\"/health\",\"maxConns\":220,\"protocol\":\"h1\","
                + "\"tls\":false}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
    }

    /** Runs a case and exits with its code, after all processes have ended. */
    static void run(String[] arguments, Case body) {
        int code = NOT_RUN;
        try {
            Path folder = Path.of(arguments[0]).toAbsolutePath();
            Record.open(folder.resolve("record.txt"));
            try (Deployment deployment = new Deployment(folder.getParent().getParent())) {
                Record.line("disruption: %s", deployment.trouble ? "on" : "off");
                code = body.run(deployment);
            }
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        try {
            Record.line("exit code %d", code);
            Record.close();
        } catch (RuntimeException e) {
            // There is no record.
        }
        Runtime.getRuntime().halt(code);
    }

    /** One case; returns its exit code. */
    interface Case {
        int run(Deployment deployment) throws Exception;
    }

    private void endNodes() {
        nodes.forEach(Node::end);
    }

    @Override
    public void close() throws IOException {
        endNodes();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            System.err.println("logs: " + directory);
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> {
                try {
                    Files.delete(file);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }
}
