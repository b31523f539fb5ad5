package org.sardinepost.standins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.core.routing.UpstreamId;

/** Utility methods for the HTTP servers of the stand-ins. */
public final class HttpUtil {
    private static final int MAX_THREADS = 64;

    private HttpUtil() {}

    /** Starts an HTTP/1.1 server on the address and returns it. */
    public static Server startServer(UpstreamId address, Handler handler) throws Exception {
        QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS);
        threadPool.setDaemon(false);
        Server server = new Server(threadPool);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, new HttpConnectionFactory(configuration));
        connector.setHost(address.host());
        connector.setPort(address.port());
        server.addConnector(connector);
        server.setHandler(handler);
        server.start();
        return server;
    }

    /** Returns the value of a query parameter, or the default value if the parameter is missing. */
    public static String queryParameter(String query, String name, String defaultValue) {
        if (query == null) {
            return defaultValue;
        }
        for (String pair : query.split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return defaultValue;
    }

    /** Sends a plain-text response and completes the callback. */
    public static void sendText(Response response, int status, String text, Callback callback) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        headers.put("Content-Type", "text/plain;charset=utf-8");
        headers.put("Content-Length", body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
