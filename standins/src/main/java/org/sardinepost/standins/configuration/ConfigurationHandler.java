package org.sardinepost.standins.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.sardinepost.standins.HttpUtil;

/**
 * Stand-in for the platform's configuration service. Daemons can read and watch its values.
 *
 * <p>{@code PUT /standin/values/NAME} writes a value, {@code /standin/down?on=true} makes all reads fail, and
 * {@code /standin/reads} returns the number of reads.
 */
public final class ConfigurationHandler extends Handler.Abstract {
    private static final String VALUE_PATH_PREFIX = "/v1/values/";
    private static final String WRITE_PATH_PREFIX = "/standin/values/";

    private final ValueStore valueStore;
    private final AtomicBoolean unavailable = new AtomicBoolean();
    private final AtomicLong readCount = new AtomicLong();

    public ConfigurationHandler(ValueStore valueStore) {
        this.valueStore = valueStore;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.startsWith(VALUE_PATH_PREFIX)) {
            readCount.incrementAndGet();
            handleRead(path.substring(VALUE_PATH_PREFIX.length()), request, response, callback);
        } else if (path.startsWith(WRITE_PATH_PREFIX)) {
            handleWrite(path.substring(WRITE_PATH_PREFIX.length()), request, response, callback);
        } else if (path.equals("/standin/reads")) {
            HttpUtil.sendText(response, 200, readCount.get() + "\n", callback);
        } else if (path.equals("/standin/down")) {
            unavailable.set(Boolean.parseBoolean(
                    HttpUtil.queryParameter(request.getHttpURI().getQuery(), "on", "true")));
            HttpUtil.sendText(response, 200, "done\n", callback);
        } else {
            HttpUtil.sendText(response, 404, "unknown path; use " + VALUE_PATH_PREFIX + "NAME\n", callback);
        }
        return true;
    }

    private void handleWrite(String name, Request request, Response response, Callback callback) {
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(
                        content -> HttpUtil.sendText(
                                response, 200, valueStore.put(name, content).revision() + "\n", callback),
                        callback::failed));
    }

    private void handleRead(String name, Request request, Response response, Callback callback) {
        if (unavailable.get()) {
            HttpUtil.sendText(response, 503, "the service is down\n", callback);
            return;
        }
        String query = request.getHttpURI().getQuery();
        long knownRevision = Long.parseLong(HttpUtil.queryParameter(query, "after", "-1"));
        long waitMillis = Long.parseLong(HttpUtil.queryParameter(query, "wait-ms", "0"));
        Optional<Value> current = valueStore.get(name);
        if (knownRevision < 0 || waitMillis <= 0) {
            sendValue(current, request, response, callback);
            return;
        }
        CompletableFuture<Void> unused = valueStore
                .valueAfter(name, knownRevision)
                .thenApply(Optional::of)
                .completeOnTimeout(Optional.empty(), waitMillis, TimeUnit.MILLISECONDS)
                .thenAccept(value -> sendWatchResult(value, request, response, callback));
    }

    private static void sendWatchResult(Optional<Value> value, Request request, Response response, Callback callback) {
        if (value.isPresent()) {
            sendValue(value, request, response, callback);
            return;
        }
        response.setStatus(304);
        callback.succeeded();
    }

    private static void sendValue(Optional<Value> value, Request request, Response response, Callback callback) {
        if (value.isEmpty()) {
            HttpUtil.sendText(response, 404, "no such value\n", callback);
            return;
        }
        response.getHeaders().put("Revision", value.get().revision());
        if (request.getMethod().equals("HEAD")) {
            callback.succeeded();
            return;
        }
        HttpUtil.sendText(response, 200, value.get().content(), callback);
    }
}
