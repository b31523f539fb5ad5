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

/** Jetty plumbing that the stand-ins share. */
public final class Http {
    private static final int MAX_THREADS = 64;

    private Http() {}

    /** A started HTTP/1.1 server on the address. */
    public static Server serve(UpstreamId address, Handler handler) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setDaemon(false);
        Server server = new Server(threads);
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

    /** The value of one query parameter, or the given default. */
    public static String parameter(String query, String name, String absent) {
        if (query == null) {
            return absent;
        }
        for (String pair : query.split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return absent;
    }

    /** Writes a text answer and completes the callback. */
    public static void answer(Response response, int status, String text, Callback callback) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        headers.put("Content-Type", "text/plain;charset=utf-8");
        headers.put("Content-Length", body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
