import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A configuration of many routes changes some times in quick succession; the last change moves a route. */
final class ConfigurationStorm {
    private static final int ROUTES = 1_440;
    private static final int CHANGES = 25;
    private static final long GAP_MILLIS = 60;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long WATCH_MILLIS = 30_000;
    private static final String HOST = "jepu9.example";

    private ConfigurationStorm() {}

    public static void main(String[] arguments) throws Exception {
        Stand.main(Path.of(arguments[0]), ConfigurationStorm::play);
    }

    /** A request and when it was sent after the acknowledgement of the last change. */
    private record Call(Stand.Answer answer, long sentMillis) {}

    private static boolean play(Record record, Stand stand) throws Exception {
        Store store = new Store();
        List<Upstream> old = servers(store, record, "huvo11a", 1);
        List<Upstream> current = servers(store, record, "kafi81c", 4);
        store.put("op/config", configuration(10, "huvo11a"));
        List<Stand.Daemon> daemons = stand.startDaemons(2, store.address());
        Thread.sleep(4_000);
        int changes = Stand.trouble() ? CHANGES : 1;
        List<String> versions = new ArrayList<>();
        for (int i = 1; i <= changes; i++) {
            versions.add(configuration(10 + i, i < changes ? "huvo11a" : "kafi81c"));
        }
        for (int i = 0; i < changes; i++) {
            store.put("op/config", versions.get(i));
            record.line("the store has acknowledged version r%d of %d bytes", 11 + i, versions.get(i).length());
            Thread.sleep(i < changes - 1 ? GAP_MILLIS : 0);
        }
        long acknowledgedNanos = System.nanoTime();
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < WATCH_MILLIS / 50; i++) {
            Stand.Daemon daemon = daemons.get(i % daemons.size());
            clients.execute(() -> {
                long sentMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
                Stand.Answer answer = stand.call(daemon, "GET", HOST, "/lepu270/a", 1_200, null);
                synchronized (calls) {
                    calls.add(new Call(answer, sentMillis));
                }
            });
            Thread.sleep(50);
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        int stale = 0;
        int byCurrent = 0;
        long lastMillis = 0;
        for (Call call : calls) {
            boolean ranByOld = old.stream().anyMatch(server -> server.timesRun(call.answer().attempt()) > 0);
            byCurrent += current.stream().anyMatch(server -> server.timesRun(call.answer().attempt()) > 0) ? 1 : 0;
            if (ranByOld && call.sentMillis() > CONFIG_APPLY_MILLIS) {
                stale++;
                lastMillis = Math.max(lastMillis, call.sentMillis());
                record.line(
                        "CONFIG: %s, sent %d ms after the acknowledgement, was run by the old service",
                        call.answer().attempt(), call.sentMillis());
            }
        }
        for (Stand.Daemon daemon : daemons) {
            record.line("daemon %s is alive: %s", daemon.front(), daemon.process().isAlive());
        }
        record.line(
                "%d requests, %d run by the new service; %d sent over %d ms after the acknowledgement were run by the old"
                        + " one, the last one sent after %d ms",
                calls.size(), byCurrent, stale, CONFIG_APPLY_MILLIS, lastMillis);
        return stale == 0;
    }

    private static List<Upstream> servers(Store store, Record record, String service, int firstId) throws Exception {
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Upstream server = new Upstream(store, record, "i-0000000" + (firstId + i), service, 4, 8, 60);
            server.start();
            servers.add(server);
        }
        return servers;
    }

    /** Returns a configuration with one route in use and many idle ones, of which some differ between versions. */
    private static String configuration(int version, String service) {
        List<String> routes = new ArrayList<>();
        routes.add(Stand.route("r-9n73hh2", HOST, "/lepu270/", "safe", service, 1.2, 2));
        for (int i = 1; i <= ROUTES; i++) {
            double timeout = i % 100 == version % 100 ? 1.4 : 1.5;
            routes.add("\"r-" + Integer.toString(1_000_003 * i, 36) + "\":{\"host\":\"hulo" + i % 90
                    + ".example\",\"prefix\":\"/xapu" + i + "/ny95/\",\"routeType\":\"safe\",\"timeoutS\":" + timeout
                    + ",\"targetLatencyS\":0.5,\"priority\":2,\"trafficSplit\":[{\"service\":\"huvo11a\",\"weight\":90},"
                    + "{\"service\":\"kafi81c\",\"weight\":10}],\"maxAttempts\":2}");
        }
        return Stand.configuration(version, routes, List.of("huvo11a", "kafi81c"));
    }
}
