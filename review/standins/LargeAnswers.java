package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Reports of 3.9 MB are fetched on kept connections; then 1.8 times as many users come at once. */
final class LargeAnswers {
    private static final int USUAL_CLIENTS = 10;
    private static final int BURST_CLIENTS = 18;
    private static final double USUAL_S = 8;
    private static final double BURST_S = 30;
    private static final int DEADLINE_MS = 5000;
    private static final int ALLOWED = 3;
    private static final int PROBES = 10;
    private static final byte[] REPORT = new byte[3_900_000];

    private static final AtomicInteger LAST = new AtomicInteger(0x1000);
    /** The requests on kept connections that ended without an answer, by machine. */
    private static final Map<Node, Set<String>> CLOSED = new ConcurrentHashMap<>();

    private static final Map<String, AtomicInteger> ENDS = new ConcurrentHashMap<>();

    private LargeAnswers() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, LargeAnswers::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Deployment.configuration("r5", "safe", 5, 2));
        for (int i = 0; i < 8; i++) {
            AppServer server = new AppServer(deployment.store, "shop", "zone-a", 8, 6, 20, true) {
                @Override
                protected byte[] body(String attempt) {
                    return REPORT;
                }
            };
            server.beat(1.5);
            deployment.servers.add(server);
        }
        if (!deployment.startNodes(2)) {
            return Deployment.NOT_RUN;
        }
        double end = Record.now() + USUAL_S + BURST_S;
        for (Node node : deployment.nodes) {
            CLOSED.put(node, ConcurrentHashMap.newKeySet());
            startClients(node, USUAL_CLIENTS, end);
        }
        AppServer.sleep((long) (1000 * USUAL_S));
        Record.line("the usual clients sent for %.0f s: %s", USUAL_S, ENDS);
        if (deployment.trouble) {
            Record.line("burst: %d clients a machine instead of %d", BURST_CLIENTS, USUAL_CLIENTS);
            deployment.nodes.forEach(node -> startClients(node, BURST_CLIENTS - USUAL_CLIENTS, end));
        }
        AppServer.sleep((long) (1000 * BURST_S) + DEADLINE_MS + 3000);
        Record.line("how the requests ended: %s", ENDS);
        return judge(deployment);
    }

    private static int judge(Deployment deployment) {
        Set<String> ran = new HashSet<>();
        deployment.servers.forEach(server -> server.arrivalsAfter(0).stream()
                .filter(arrival -> arrival.status() == 200)
                .forEach(arrival -> ran.add(arrival.attempt())));
        boolean broken = false;
        for (Node node : deployment.nodes) {
            Set<String> passedOn = new HashSet<>(CLOSED.get(node));
            passedOn.retainAll(ran);
            Record.line("%s: closed %d kept connections without an answer to a request that it had passed on", node.name,
                    passedOn.size());
            broken |= passedOn.size() > ALLOWED;
        }
        for (Node node : deployment.nodes) {
            int answered = 0;
            for (int i = 0; i < PROBES; i++) {
                boolean served = Client.send(node, "GET", "shop.example", "/shop/2f", new byte[0], 1000).status() == 200;
                answered += served ? 1 : 0;
                AppServer.sleep(200);
            }
            Record.line("%s after the load: alive %s, says ready %s, served %d of %d single requests", node.name,
                    node.alive(), node.ready(), answered, PROBES);
        }
        if (ran.size() < 500) {
            return Deployment.NOT_RUN;
        }
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void startClients(Node node, int count, double end) {
        for (int i = 0; i < count; i++) {
            Listener.start(() -> {
                while (Record.now() < end) {
                    useConnection(node, end);
                }
            });
        }
    }

    /** Sends one request after the other on one connection, until it ends. */
    private static void useConnection(Node node, double end) {
        boolean kept = false;
        String attempt = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", node.frontPort), 1000);
            socket.setSoTimeout(DEADLINE_MS + 1500);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (Record.now() < end) {
                attempt = String.format("%016x", 0x9c41d07b00000000L + LAST.incrementAndGet());
                String request = "GET /shop/2f HTTP/1.1\r\nHost: shop.example\r\nSardinepost-Attempt-Id: " + attempt
                        + "\r\nSardinepost-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n";
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.read(in, true);
                if (answer == null) {
                    ended(node, attempt, kept ? "closed without an answer" : "new connection closed without an answer");
                    if (kept) {
                        CLOSED.get(node).add(attempt);
                    }
                    return;
                }
                boolean whole = answer.status() != 200 || answer.body().length == REPORT.length;
                ended(node, attempt, answer.status() + (whole ? "" : " not whole"));
                kept = true;
                if ("close".equalsIgnoreCase(answer.headers().getOrDefault("Connection", ""))) {
                    return;
                }
            }
        } catch (IOException e) {
            ended(node, attempt, "no whole answer: " + e);
        }
    }

    private static void ended(Node node, String attempt, String end) {
        ENDS.computeIfAbsent(end, key -> new AtomicInteger()).incrementAndGet();
        if (!end.equals("200")) {
            Record.line("client: request %s to %s: %s", attempt, node.name, end);
        }
    }
}
