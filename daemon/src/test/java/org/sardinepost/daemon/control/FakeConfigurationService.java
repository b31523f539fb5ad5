package org.sardinepost.daemon.control;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** A configuration service with one value. It can be made unavailable, or stale by setting an older revision. */
final class FakeConfigurationService extends Handler.Abstract implements AutoCloseable {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private long revision;
    private String content = "";
    private boolean down;
    private int failingReads;

    FakeConfigurationService() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
    }

    String url() {
        return "http://127.0.0.1:" + connector.getLocalPort() + "/v1/values/services";
    }

    /** Sets the value; a lower revision than the previous one simulates a stale replica. */
    synchronized void set(long newRevision, String newContent) {
        revision = newRevision;
        content = newContent;
        notifyAll();
    }

    synchronized void down(boolean value) {
        down = value;
        notifyAll();
    }

    /** Makes the next {@code count} reads of the value fail, while watches still succeed. */
    synchronized void failNextReads(int count) {
        failingReads = count;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Fields query = Request.extractQueryParameters(request);
        long after = query.get("after") == null ? -1 : Long.parseLong(query.getValue("after"));
        long waitMillis = query.get("wait-ms") == null ? 0 : Long.parseLong(query.getValue("wait-ms"));
        String body = "";
        synchronized (this) {
            awaitChange(after, waitMillis);
            boolean read = HttpMethod.GET.is(request.getMethod());
            if (down || (read && failingReads-- > 0)) {
                response.setStatus(503);
            } else if (revision == after) {
                response.setStatus(304);
            } else {
                response.getHeaders().put("Revision", Long.toString(revision));
                body = HttpMethod.HEAD.is(request.getMethod()) ? "" : content;
            }
        }
        response.write(true, StandardCharsets.UTF_8.encode(body), callback);
        return true;
    }

    private synchronized void awaitChange(long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (!down && revision == after && System.nanoTime() < end) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
    }

    @Override
    public void close() throws Exception {
        down(true);
        server.stop();
    }
}
