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
import org.sardinepost.standins.Http;

/**
 * The platform's configuration service as daemons see it: values can be read and watched.
 *
 * <p>Operators write with {@code PUT /standin/values/NAME}. {@code /standin/down?on=true} makes every read fail, and
 * {@code /standin/reads} shows the number of reads.
 */
public final class ConfigurationHandler extends Handler.Abstract {
    private static final String VALUES = "/v1/values/";
    private static final String WRITES = "/standin/values/";

    private final ValueStore values;
    private final AtomicBoolean down = new AtomicBoolean();
    private final AtomicLong reads = new AtomicLong();

    public ConfigurationHandler(ValueStore values) {
        this.values = values;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.startsWith(VALUES)) {
            reads.incrementAndGet();
            read(path.substring(VALUES.length()), request, response, callback);
        } else if (path.startsWith(WRITES)) {
            write(path.substring(WRITES.length()), request, response, callback);
        } else if (path.equals("/standin/reads")) {
            Http.answer(response, 200, reads.get() + "\n", callback);
        } else if (path.equals("/standin/down")) {
            down.set(Boolean.parseBoolean(Http.parameter(request.getHttpURI().getQuery(), "on", "true")));
            Http.answer(response, 200, "done\n", callback);
        } else {
            Http.answer(response, 404, "unknown path; use " + VALUES + "NAME\n", callback);
        }
        return true;
    }

    private void write(String name, Request request, Response response, Callback callback) {
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(
                        content -> Http.answer(
                                response, 200, values.put(name, content).revision() + "\n", callback),
                        callback::failed));
    }

    private void read(String name, Request request, Response response, Callback callback) {
        if (down.get()) {
            Http.answer(response, 503, "the service is down\n", callback);
            return;
        }
        String query = request.getHttpURI().getQuery();
        long after = Long.parseLong(Http.parameter(query, "after", "-1"));
        long waitMillis = Long.parseLong(Http.parameter(query, "wait-ms", "0"));
        Optional<Value> now = values.get(name);
        if (after < 0 || waitMillis <= 0) {
            reply(now, request, response, callback);
            return;
        }
        CompletableFuture<Void> unused = values.after(name, after)
                .thenApply(Optional::of)
                .completeOnTimeout(Optional.empty(), waitMillis, TimeUnit.MILLISECONDS)
                .thenAccept(value -> replyToWatch(value, request, response, callback));
    }

    private static void replyToWatch(Optional<Value> value, Request request, Response response, Callback callback) {
        if (value.isPresent()) {
            reply(value, request, response, callback);
            return;
        }
        response.setStatus(304);
        callback.succeeded();
    }

    private static void reply(Optional<Value> value, Request request, Response response, Callback callback) {
        if (value.isEmpty()) {
            Http.answer(response, 404, "no such value\n", callback);
            return;
        }
        response.getHeaders().put("Revision", value.get().revision());
        if (request.getMethod().equals("HEAD")) {
            callback.succeeded();
            return;
        }
        Http.answer(response, 200, value.get().content(), callback);
    }
}
