package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Two of four servers send a late second copy of a rejection; machines are stopped and started in turn. */
final class RepeatedRejection {
    private static final double SECONDS = 75;
    private static final double STEP_S = 6;

    private RepeatedRejection() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, RepeatedRejection::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Deployment.configuration("r5", "unsafe", 1.5, 2));
        List<RepeatingServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            RepeatingServer server = new RepeatingServer(deployment.store, deployment.trouble && i < 2);
            server.beat(1.5);
            servers.add(server);
        }
        if (!deployment.startNodes(3)) {
            return Deployment.NOT_RUN;
        }
        for (Node node : deployment.nodes) {
            Listener.start(() -> roll(node, deployment.nodes.indexOf(node)));
        }
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = Record.now();
        List<Client.Result> results = new ArrayList<>();
        for (int i = 0; Record.now() < start + SECONDS; i++) {
            Node node = deployment.nodes.get(i % deployment.nodes.size());
            if (node.inRotation()) {
                clients.submit(() -> {
                    Client.Result result = Client.send(node, "POST", "shop.example", "/shop/2f", new byte[300], 1500);
                    synchronized (results) {
                        results.add(result);
                    }
                });
            }
            AppServer.sleep(9);
        }
        AppServer.sleep(3000);
        return judge(servers, results);
    }

    /** Stops and starts one machine, again and again, a third of the time apart from the others. */
    private static void roll(Node node, int index) {
        AppServer.sleep((long) (1000 * (5 + index * STEP_S)));
        while (true) {
            try {
                node.restart(6000);
            } catch (Exception e) {
                Record.line("%s: restart failed: %s", node.name, e);
            }
            AppServer.sleep((long) (1000 * 2 * STEP_S));
        }
    }

    private static int judge(List<RepeatingServer> servers, List<Client.Result> results) {
        Map<String, Integer> runs = new HashMap<>();
        int copies = 0;
        for (RepeatingServer server : servers) {
            copies += server.copies();
            Record.line("server %s: %d answers, of which %d were repeated", server.id, server.answers(), server.copies());
            server.arrivalsAfter(0).stream()
                    .filter(arrival -> arrival.status() == 200)
                    .forEach(arrival -> runs.merge(arrival.attempt(), 1, Integer::sum));
        }
        long twice = runs.values().stream().filter(count -> count > 1).count();
        long refused;
        long served;
        synchronized (results) {
            refused = results.stream()
                    .filter(result -> result.status() == 503 && runs.containsKey(result.attempt()))
                    .count();
            served = results.stream().filter(result -> result.status() == 200).count();
        }
        runs.forEach((attempt, count) -> {
            if (count > 1) {
                Record.line("TWICE: request %s ran %d times", attempt, count);
            }
        });
        Record.line("requests served: %d, run more than once: %d, answered 503 and run: %d", served, twice, refused);
        if (served < 500) {
            return Deployment.NOT_RUN;
        }
        return twice + refused == 0 ? Deployment.HELD : Deployment.BROKEN;
    }
}
