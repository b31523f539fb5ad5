import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The server of a service refuses a part of its requests before it runs them, and sends a second copy of a few of its
 * answers, at the point where the next answer on the connection is expected.
 */
final class LateRefusal {
    private static final long WORK_MILLIS = 78;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long LENGTH_SECONDS = 60;
    private static final long CALL_INTERVAL_MILLIS = 25;
    private static final int MAX_CLIENT_RETRIES = 1;

    /** The disruptions come again after a pause; their lengths and shares are those of the small site file. */
    private static final double PERIOD_SECONDS = 9;

    private static final double SHED_SECONDS = 8.5;
    private static final double COPY_SECONDS = 5.5;
    private static final double SHED_SHARE = 0.25;
    private static final double COPY_SHARE = 0.05;

    private LateRefusal() {}

    public static void main(String[] arguments) throws Exception {
        Stand.main(Path.of(arguments[0]), LateRefusal::play);
    }

    private static final class Troubled extends Upstream {
        private final Random random;
        private final long startNanos = System.nanoTime();
        private final Map<Connection, String> copyByConnection = new ConcurrentHashMap<>();

        Troubled(Store store, Record record, String id) throws Exception {
            super(store, record, id, "orders", 4, 6, WORK_MILLIS);
            this.random = new Random(id.hashCode());
        }

        private boolean within(double seconds, double share) {
            double inPeriod = (System.nanoTime() - startNanos) / 1e9 % PERIOD_SECONDS;
            return Stand.trouble() && inPeriod < seconds && random.nextDouble() < share;
        }

        @Override
        boolean handle(Connection connection, Http.Message request, String attempt) throws Exception {
            String copy = copyByConnection.remove(connection);
            if (copy != null) {
                record.line("server %s sends a second copy of an answer as %s arrives: %s", id, attempt, copy.split("\r\n")[1]);
                connection.send(copy);
            }
            if (within(SHED_SECONDS, SHED_SHARE)) {
                refuse(connection, attempt);
                return true;
            }
            return super.handle(connection, request, attempt);
        }

        @Override
        void refuse(Connection connection, String attempt) throws Exception {
            super.refuse(connection, attempt);
            copyLater(connection, refusal("503 Service Unavailable", attempt));
        }

        @Override
        void answer(Connection connection, Http.Message request, String attempt) throws Exception {
            super.answer(connection, request, attempt);
            copyLater(connection, success(attempt, "result of " + attempt));
        }

        private void copyLater(Connection connection, String answer) {
            if (within(COPY_SECONDS, COPY_SHARE)) {
                copyByConnection.put(connection, answer);
            }
        }

        @Override
        void run(Connection connection, Http.Message request, String attempt) throws Exception {
            RUNS_OF_ORDERS.computeIfAbsent(request.target(), order -> new AtomicInteger()).incrementAndGet();
            super.run(connection, request, attempt);
        }
    }

    private static final Map<String, AtomicInteger> RUNS_OF_ORDERS = new ConcurrentHashMap<>();

    private static boolean play(Record record, Stand stand) throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                Stand.configuration(
                        7,
                        List.of(Stand.route("r-1", "hulo84.example", "/xapu221/", "unsafe", "orders", 1.5, 2)),
                        List.of("orders")));
        Upstream server = new Troubled(store, record, "i-00000001");
        server.start();
        Stand.Daemon daemon = stand.startDaemons(1, store.address()).get(0);
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Stand.Answer> answers = new ArrayList<>();
        for (int i = 0; i < LENGTH_SECONDS * 1_000 / CALL_INTERVAL_MILLIS; i++) {
            String order = "/xapu221/order-" + i;
            clients.execute(() -> {
                for (int attempt = 0; attempt <= MAX_CLIENT_RETRIES; attempt++) {
                    Stand.Answer answer = stand.call(daemon, "POST", "hulo84.example", order, DEADLINE_MILLIS, "order");
                    synchronized (answers) {
                        answers.add(answer);
                    }
                    if (answer.status() != 503) {
                        return;
                    }
                    Stand.pause(answer.message().header("Retry-After"));
                }
            });
            Thread.sleep(CALL_INTERVAL_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(8, TimeUnit.SECONDS);
        Thread.sleep(500);
        int served = 0;
        int refusedButRun = 0;
        int twice = 0;
        for (Stand.Answer answer : answers) {
            int runs = server.timesRun(answer.attempt());
            served += answer.status() == 200 ? 1 : 0;
            if (runs > 0 && List.of(408, 421, 429, 503).contains(answer.status())) {
                refusedButRun++;
                record.line("REFUSED: %s was answered %d and has run %d times", answer.attempt(), answer.status(), runs);
            }
            if (runs > 1) {
                twice++;
                record.line("TWICE: %s has run %d times", answer.attempt(), runs);
            }
        }
        RUNS_OF_ORDERS.forEach((order, runs) -> {
            if (runs.get() > 1) {
                record.line("%s has run %d times, as its client believed the 503", order, runs.get());
            }
        });
        record.line(
                "%d of %d attempts served, %d answered 408, 421, 429 or 503 although they ran, %d ran twice",
                served, answers.size(), refusedButRun, twice);
        return refusedButRun == 0 && twice == 0;
    }
}
