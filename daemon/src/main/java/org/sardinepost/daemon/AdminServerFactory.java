package org.sardinepost.daemon;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.core.routing.UpstreamId;

/** Creates the HTTP server of the admin address. A separate thread pool keeps load from callers from delaying probes. */
final class AdminServerFactory {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;

    private AdminServerFactory() {}

    static Server create(UpstreamId address, Handler handler) {
        QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threadPool.setName("admin");
        Server server = new Server(threadPool);
        HttpConfiguration httpConfig = new HttpConfiguration();
        httpConfig.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfig));
        connector.setHost(address.host());
        connector.setPort(address.port());
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }
}
