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
import org.sardinepost.standins.HttpUtil;

/**
 * Handles the requests of a stand-in upstream.
 *
 * <p>Each response starts with the Request-Id, so that a caller can detect a response to another request, and is padded
 * to the size requested with {@code ?bytes=N}. Paths under {@code /standin/} change the behaviour and return the
 * executions.
 */
public final class UpstreamHandler extends Handler.Abstract {
    private static final String MISSING_REQUEST_ID = "none";

    private final SlotQueue queue;
    private final ExecutionCounter executionCounter = new ExecutionCounter();
    private final AtomicReference<Behaviour> behaviour;
    private final ScheduledExecutorService scheduler;
    private final Optional<NestedCaller> nestedCaller;
    private final SplittableRandom serviceTimeRandom;

    public UpstreamHandler(
            int slots,
            Behaviour initialBehaviour,
            long seed,
            ScheduledExecutorService scheduler,
            Optional<NestedCaller> nestedCaller) {
        this.behaviour = new AtomicReference<>(initialBehaviour);
        this.queue = new SlotQueue(slots, () -> behaviour.get().queueLimit());
        this.scheduler = scheduler;
        this.nestedCaller = nestedCaller;
        this.serviceTimeRandom = new SplittableRandom(seed);
    }

    public ExecutionCounter executionCounter() {
        return executionCounter;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.startsWith("/standin/")) {
            handleControlRequest(path.substring("/standin/".length()), request, response, callback);
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
            addLoadHeaders(response);
            response.getHeaders().put("Sardinepost-Not-Run", "1");
            HttpUtil.sendText(response, 503, "refused before starting: the queue is full\n", callback);
        }
    }

    private void start(Request request, String body, Response response, Callback callback) {
        Behaviour current = behaviour.get();
        if (current.failing()) {
            addLoadHeaders(response);
            queue.release();
            HttpUtil.sendText(response, 500, "failing on request\n", callback);
            return;
        }
        String requestId =
                Optional.ofNullable(request.getHeaders().get("Request-Id")).orElse(MISSING_REQUEST_ID);
        executionCounter.recordStart(requestId);
        ScheduledFuture<?> unused = scheduler.schedule(
                () -> callNestedOrFinish(request, requestId, body, response, callback),
                randomServiceTime(current.serviceTime()).toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private synchronized Duration randomServiceTime(Duration mean) {
        return Duration.ofNanos((long) (-Math.log(1 - serviceTimeRandom.nextDouble()) * mean.toNanos()));
    }

    private void callNestedOrFinish(
            Request request, String requestId, String body, Response response, Callback callback) {
        if (nestedCaller.isEmpty()) {
            finish(request, requestId, body, response, callback);
            return;
        }
        CompletableFuture<Integer> unused = nestedCaller
                .get()
                .call(request.getHeaders())
                .whenComplete((status, failure) -> {
                    if (failure != null || status != 200) {
                        queue.release();
                        addLoadHeaders(response);
                        HttpUtil.sendText(response, 502, "the nested call failed\n", callback);
                        return;
                    }
                    finish(request, requestId, body, response, callback);
                });
    }

    private void finish(Request request, String requestId, String body, Response response, Callback callback) {
        // The load is added before the slot is released, so that it includes the current call.
        addLoadHeaders(response);
        queue.release();
        int minLength =
                Integer.parseInt(HttpUtil.queryParameter(request.getHttpURI().getQuery(), "bytes", "0"));
        StringBuilder text =
                new StringBuilder(requestId).append('\n').append(body).append('\n');
        while (text.length() < minLength) {
            text.append("0123456789abcdef");
        }
        text.append("end\n");
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put("Content-Length", bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    private void addLoadHeaders(Response response) {
        response.getHeaders().put("Sardinepost-Load", queue.inFlight() + "/" + queue.slots());
        if (behaviour.get().draining()) {
            response.getHeaders().put("Sardinepost-Draining", "1");
        }
    }

    private void handleControlRequest(String action, Request request, Response response, Callback callback) {
        String query = request.getHttpURI().getQuery();
        switch (action) {
            case "executions" -> {
                HttpUtil.sendText(response, 200, executionCounter.toLines(), callback);
                return;
            }
            case "drain" -> behaviour.updateAndGet(current -> current.withDraining(true));
            case "fail" -> {
                boolean on = Boolean.parseBoolean(HttpUtil.queryParameter(query, "on", "true"));
                behaviour.updateAndGet(current -> current.withFailing(on));
            }
            case "service-time" -> {
                Duration mean = Duration.ofMillis(Long.parseLong(HttpUtil.queryParameter(query, "ms", "10")));
                behaviour.updateAndGet(current -> current.withServiceTime(mean));
            }
            default -> {
                HttpUtil.sendText(
                        response, 404, "unknown action; use executions, drain, fail or service-time\n", callback);
                return;
            }
        }
        HttpUtil.sendText(response, 200, "done\n", callback);
    }
}
