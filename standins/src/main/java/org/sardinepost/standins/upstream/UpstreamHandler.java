package org.sardinepost.standins.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.sardinepost.standins.Http;

/**
 * A stand-in upstream.
 *
 * <p>Each answer repeats the Request-Id, so that a caller can tell its own answer from another's, followed by filler up to
 * the size asked for with {@code ?bytes=N}. Paths under {@code /standin/} change the behaviour and show the executions.
 */
public final class UpstreamHandler extends Handler.Abstract {
    private static final String NO_ID = "none";

    private final SlotQueue queue;
    private final ExecutionLog executions = new ExecutionLog();
    private final AtomicReference<Behaviour> behaviour;
    private final ScheduledExecutorService timer;
    private final Optional<NestedCaller> nested;
    private final SplittableRandom random;

    public UpstreamHandler(
            int slots, Behaviour initial, long seed, ScheduledExecutorService timer, Optional<NestedCaller> nested) {
        this.behaviour = new AtomicReference<>(initial);
        this.queue = new SlotQueue(slots, () -> behaviour.get().queueLimit());
        this.timer = timer;
        this.nested = nested;
        this.random = new SplittableRandom(seed);
    }

    public ExecutionLog executions() {
        return executions;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.startsWith("/standin/")) {
            control(path.substring("/standin/".length()), request, response, callback);
            return true;
        }
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(body -> enqueue(request, body, response, callback), callback::failed));
        return true;
    }

    private void enqueue(Request request, String body, Response response, Callback callback) {
        if (!queue.submit(() -> start(request, body, response, callback))) {
            describe(response);
            response.getHeaders().put("Sardinepost-Not-Run", "1");
            Http.answer(response, 503, "refused before starting: the queue is full\n", callback);
        }
    }

    private void start(Request request, String body, Response response, Callback callback) {
        Behaviour now = behaviour.get();
        if (now.failing()) {
            describe(response);
            queue.release();
            Http.answer(response, 500, "failing on request\n", callback);
            return;
        }
        String id = Optional.ofNullable(request.getHeaders().get("Request-Id")).orElse(NO_ID);
        executions.started(id);
        ScheduledFuture<?> unused = timer.schedule(
                () -> afterWork(request, id, body, response, callback),
                serviceTime(now.serviceTime()).toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private synchronized Duration serviceTime(Duration mean) {
        return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) * mean.toNanos()));
    }

    private void afterWork(Request request, String id, String body, Response response, Callback callback) {
        if (nested.isEmpty()) {
            finish(request, id, body, response, callback);
            return;
        }
        CompletableFuture<Integer> unused = nested.get()
                .call(request.getHeaders())
                .whenComplete((status, failure) -> {
                    if (failure != null || status != 200) {
                        queue.release();
                        describe(response);
                        Http.answer(response, 502, "the nested call failed\n", callback);
                        return;
                    }
                    finish(request, id, body, response, callback);
                });
    }

    private void finish(Request request, String id, String body, Response response, Callback callback) {
        // The reported load counts the call that the answer ends.
        describe(response);
        queue.release();
        int size = Integer.parseInt(Http.parameter(request.getHttpURI().getQuery(), "bytes", "0"));
        StringBuilder text = new StringBuilder(id).append('\n').append(body).append('\n');
        while (text.length() < size) {
            text.append("0123456789abcdef");
        }
        text.append("end\n");
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put("Content-Length", bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    private void describe(Response response) {
        response.getHeaders().put("Sardinepost-Load", queue.inFlight() + "/" + queue.slots());
        if (behaviour.get().draining()) {
            response.getHeaders().put("Sardinepost-Draining", "1");
        }
    }

    private void control(String action, Request request, Response response, Callback callback) {
        String query = request.getHttpURI().getQuery();
        switch (action) {
            case "executions" -> {
                Http.answer(response, 200, executions.lines(), callback);
                return;
            }
            case "drain" -> behaviour.updateAndGet(now -> now.withDraining(true));
            case "fail" -> {
                boolean on = Boolean.parseBoolean(Http.parameter(query, "on", "true"));
                behaviour.updateAndGet(now -> now.withFailing(on));
            }
            case "service-time" -> {
                Duration mean = Duration.ofMillis(Long.parseLong(Http.parameter(query, "ms", "10")));
                behaviour.updateAndGet(now -> now.withServiceTime(mean));
            }
            default -> {
                Http.answer(response, 404, "unknown action; use executions, drain, fail or service-time\n", callback);
                return;
            }
        }
        Http.answer(response, 200, "done\n", callback);
    }
}
