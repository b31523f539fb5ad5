package org.sardinepost.daemon;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.core.routing.UpstreamId;

/** Creates the HTTP server of the admin address. Its threads are its own, so that a busy caller path delays no probe. */
final class AdminServerFactory {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;

    private AdminServerFactory() {}

    static Server create(UpstreamId address, Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("admin");
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.host());
        connector.setPort(address.port());
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }
}
