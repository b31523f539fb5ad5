package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A configuration drops a route whose host is also the name of a service. */
final class DroppedRoute {
    private static final double CONFIG_APPLY_S = 2;

    private DroppedRoute() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, DroppedRoute::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", configuration("r5", true));
        for (int i = 0; i < 4; i++) {
            AppServer server = new AppServer(deployment.store, "orders", "zone-a", 3, 6, 50, true);
            server.beat(1.5);
            deployment.servers.add(server);
        }
        if (!deployment.startNodes(3)) {
            return Deployment.NOT_RUN;
        }
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = Record.now();
        double changed = Double.MAX_VALUE;
        List<Client.Result> desk = new ArrayList<>();
        List<Client.Result> shop = new ArrayList<>();
        for (int i = 0; Record.now() < start + 16; i++) {
            Node node = deployment.nodes.get(i % deployment.nodes.size());
            clients.submit(() -> add(shop, Client.send(node, "GET", "shop.example", "/shop/2f", new byte[0], 1200)));
            clients.submit(() -> add(desk, Client.send(node, "POST", "orders", "/desk/2f", new byte[200], 1500)));
            AppServer.sleep(100);
            if (deployment.trouble && changed == Double.MAX_VALUE && Record.now() > start + 6) {
                deployment.store.put("op/config", configuration("r8", false));
                changed = Record.now();
                Record.line("store: acknowledges version r8, which has no route r-2 (host orders, /desk/)");
            }
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        double end = changed + CONFIG_APPLY_S;
        long served = desk.stream().filter(result -> result.sentAt() <= end && result.status() == 200).count();
        long runLate = desk.stream().filter(result -> result.sentAt() > end && ran(deployment, result)).count();
        long notFound = desk.stream().filter(result -> result.sentAt() > end && result.status() == 404).count();
        long shopServed = shop.stream().filter(result -> result.status() == 200).count();
        Record.line("route r-1: %d of %d requests served", shopServed, shop.size());
        Record.line("route r-2: %d requests served until configApplyS after r8", served);
        Record.line("route r-2: later than that, %d requests ran and %d got 404", runLate, notFound);
        if (served < 20 || shopServed < 100) {
            return Deployment.NOT_RUN;
        }
        return runLate == 0 ? Deployment.HELD : Deployment.BROKEN;
    }

    private static void add(List<Client.Result> results, Client.Result result) {
        synchronized (results) {
            results.add(result);
        }
    }

    private static boolean ran(Deployment deployment, Client.Result result) {
        return deployment.servers.stream()
                .flatMap(server -> server.arrivalsAfter(0).stream())
                .anyMatch(arrival -> arrival.status() == 200 && arrival.attempt().equals(result.attempt()));
    }

    private static String configuration(String version, boolean withDesk) {
        String desk = ",\"r-2\":{\"host\":\"orders\",\"prefix\":\"/desk/\",\"routeType\":\"unsafe\",\"timeoutS\":1.5,"
                + "\"targetLatencyS\":0.5,\"priority\":1,\"service\":\"orders\",\"maxAttempts\":2}";
        return "{\"version\":\"" + version + "\",\"routes\":{\"r-1\":{\"host\":\"shop.example\",\"prefix\":\"/shop/\","
                + "\"routeType\":\"safe\",\"timeoutS\":1.2,\"targetLatencyS\":0.4,\"priority\":2,"
                + "\"service\":\"orders\",\"maxAttempts\":2}" + (withDesk ? desk : "")
                + "},\"services\":{\"orders\":{\"healthPath\":\"/health\",\"maxConns\":220,\"protocol\":\"h1\","
                + "\"tls\":false}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
    }
}
