package review;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Another writer leaves an unreadable entry in the store; then a server drains. */
final class UnreadableEntry {
    private static final double DRAIN_S = 2;

    private UnreadableEntry() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, UnreadableEntry::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Deployment.configuration("r5", "safe", 1.2, 2));
        for (int i = 0; i < 4; i++) {
            AppServer server = new AppServer(deployment.store, "shop", "zone-a", 3, 6, 50, true);
            server.beat(1.5);
            deployment.servers.add(server);
        }
        if (!deployment.startNodes(3)) {
            return Deployment.NOT_RUN;
        }
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = Record.now();
        double drained = 0;
        boolean entryWritten = false;
        AppServer leaving = deployment.servers.get(0);
        for (int i = 0; Record.now() < start + 20; i++) {
            Node node = deployment.nodes.get(i % deployment.nodes.size());
            clients.submit(() -> Client.send(node, "GET", "shop.example", "/shop/2f", new byte[0], 1200));
            AppServer.sleep(40);
            if (deployment.trouble && !entryWritten && Record.now() > start + 4) {
                entryWritten = true;
                Record.line("store: another writer puts servers/i-0badc0de, of which one byte is not UTF-8");
                deployment.store.put("servers/i-0badc0de", unreadable());
            }
            if (drained == 0 && Record.now() > start + 8) {
                leaving.drain();
                drained = Record.now();
                Record.line("store: acknowledges that server %s is draining", leaving.id);
            }
        }
        AppServer.sleep(1500);
        List<AppServer.Arrival> late = leaving.arrivalsAfter(drained + DRAIN_S);
        Record.line("requests that reached %s later than drainS after the acknowledgement: %d", leaving.id, late.size());
        Record.line("requests that reached %s before: %d", leaving.id, leaving.arrivals.size() - late.size());
        if (leaving.arrivals.size() - late.size() < 10) {
            return Deployment.NOT_RUN;
        }
        return late.isEmpty() ? Deployment.HELD : Deployment.BROKEN;
    }

    private static byte[] unreadable() {
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        value.writeBytes("{\"service\":\"shop\",\"address\":\"10.128.0".getBytes(StandardCharsets.UTF_8));
        value.write(0xae);
        value.writeBytes("9:8080\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                .getBytes(StandardCharsets.UTF_8));
        value.writeBytes("\"warmupLeftS\":0,\"sequence\":4,\"born\":1760000000000}".getBytes(StandardCharsets.UTF_8));
        return value.toByteArray();
    }
}
