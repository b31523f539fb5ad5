package review;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A quarter of the servers are taken away; their entries are removed without having said draining. */
final class RemovedTogether {
    private static final double DRAIN_S = 2;
    private static final int SERVERS = 12;
    private static final int REMOVED = 3;

    private RemovedTogether() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, RemovedTogether::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Deployment.configuration("r5", "safe", 1.2, 2));
        for (int i = 0; i < SERVERS; i++) {
            AppServer server = new AppServer(deployment.store, "shop", "zone-a", 3, 6, 50, true);
            server.beat(1.5);
            deployment.servers.add(server);
        }
        if (!deployment.startNodes(3)) {
            return Deployment.NOT_RUN;
        }
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = Record.now();
        double removedAt = 0;
        List<AppServer> leaving = deployment.servers.subList(0, deployment.trouble ? REMOVED : 1);
        for (int i = 0; Record.now() < start + 18; i++) {
            Node node = deployment.nodes.get(i % deployment.nodes.size());
            clients.submit(() -> Client.send(node, "GET", "shop.example", "/shop/2f", new byte[0], 1200));
            AppServer.sleep(8);
            if (removedAt == 0 && Record.now() > start + 6) {
                leaving.forEach(AppServer::leave);
                removedAt = Record.now();
                Record.line("store: %d of %d entries were removed; these servers go on serving", leaving.size(), SERVERS);
            }
        }
        AppServer.sleep(1500);
        double end = removedAt + DRAIN_S;
        int late = 0;
        int before = 0;
        for (AppServer server : leaving) {
            int lateHere = server.arrivalsAfter(end).size();
            late += lateHere;
            before += server.arrivals.size() - lateHere;
            double last = server.arrivals.get(server.arrivals.size() - 1).at();
            Record.line("server %s: %d requests later than drainS, the last %.3f s after the removal", server.id, lateHere,
                    last - removedAt);
        }
        Record.line("requests that reached the removed servers later than drainS: %d, before: %d", late, before);
        if (before < 10) {
            return Deployment.NOT_RUN;
        }
        return late == 0 ? Deployment.HELD : Deployment.BROKEN;
    }
}
