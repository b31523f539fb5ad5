package org.sardinepost.daemon;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.daemon.http.StrictHttpConnectionFactory;

/** Creates the HTTP server of the caller address: HTTP/1.1 and h2c on one port. */
final class CallerServerFactory {
    /** Larger headers of an upstream's answer count as a failure of the upstream. */
    static final int MAX_ANSWER_HEADER_BYTES = 16 << 10;

    /** For the headers that the daemon adds to an answer. */
    private static final int HEADER_ROOM_BYTES = 2 << 10;

    private static final int SELECTORS = 2;
    private static final int ACCEPTORS = 1;

    /** Connections that wait while a daemon starts; some seconds of the new ones of a small fleet. */
    private static final int ACCEPT_QUEUE = 1_024;

    /** Upstreams decide what an encoded slash or a dot segment means; the target passes unchanged. */
    private static final UriCompliance TARGETS = new UriCompliance("TARGETS", UriCompliance.AMBIGUOUS_VIOLATIONS);

    private CallerServerFactory() {}

    static Server create(DaemonSettings settings, Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName("caller");
        Server server = new Server(threads);
        HttpConfiguration http = configuration(settings);
        CallerConnector connector = new CallerConnector(
                server,
                ACCEPTORS,
                SELECTORS,
                new StrictHttpConnectionFactory(http),
                new HTTP2CServerConnectionFactory(http));
        connector.setHost(settings.callerAddress().host());
        connector.setPort(settings.callerAddress().port());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }

    private static HttpConfiguration configuration(DaemonSettings settings) {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(settings.headerLimitBytes());
        // A smaller first size makes the server write the head twice; it then forgets to close the connection.
        http.setResponseHeaderSize(MAX_ANSWER_HEADER_BYTES + HEADER_ROOM_BYTES);
        http.setMaxResponseHeaderSize(MAX_ANSWER_HEADER_BYTES + HEADER_ROOM_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setHttpCompliance(HttpCompliance.RFC9110);
        http.setUriCompliance(TARGETS);
        return http;
    }
}
