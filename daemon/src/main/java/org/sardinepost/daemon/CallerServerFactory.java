package org.sardinepost.daemon;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.daemon.call.CallerConnections;
import org.sardinepost.daemon.http.StrictHttpConnectionFactory;

/** Creates the HTTP server of the caller address, which serves HTTP/1.1 and h2c on the same port. */
final class CallerServerFactory {
    /** A response with larger headers counts as a failure of the upstream. */
    static final int MAX_RESPONSE_HEADER_BYTES = 16 << 10;

    /** Space for the headers that the daemon adds to a response. */
    private static final int HEADER_RESERVE_BYTES = 2 << 10;

    private static final int SELECTORS = 2;
    private static final int ACCEPTORS = 1;

    /** Calls never block a thread, and each thread takes about 0.1 MiB outside the heap. */
    private static final int MAX_THREADS = 32;

    /** Holds the connections that arrive during startup: several seconds of new connections in a small fleet. */
    static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Accepts every well-formed request target unchanged: upstreams decide what an encoded slash, a dot segment or an
     * encoded byte means. Characters that must be encoded are rejected with the rest of the head.
     */
    private static final UriCompliance URI_COMPLIANCE = new UriCompliance("TARGETS", UriCompliance.AMBIGUOUS_VIOLATIONS)
            .with(
                    "TARGETS",
                    UriCompliance.Violation.BAD_UTF8_ENCODING,
                    UriCompliance.Violation.TRUNCATED_UTF8_ENCODING,
                    UriCompliance.Violation.SUSPICIOUS_PATH_CHARACTERS,
                    UriCompliance.Violation.ILLEGAL_PATH_CHARACTERS);

    private CallerServerFactory() {}

    static Server create(DaemonSettings settings, CallerConnections connections, Handler handler) {
        QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS);
        threadPool.setName("caller");
        Server server = new Server(threadPool);
        HttpConfiguration httpConfig = httpConfiguration(settings);
        CallerConnector connector = new CallerConnector(
                server,
                connections,
                DescriptorReserve.ofProcess(settings.descriptorReserve()),
                ACCEPTORS,
                SELECTORS,
                new StrictHttpConnectionFactory(httpConfig),
                new PriorKnowledgeHttp2Factory(httpConfig));
        connector.setHost(settings.callerAddress().host());
        connector.setPort(settings.callerAddress().port());
        connector.setAcceptQueueSize(ACCEPT_BACKLOG);
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }

    private static HttpConfiguration httpConfiguration(DaemonSettings settings) {
        HttpConfiguration httpConfig = new HttpConfiguration();
        httpConfig.setRequestHeaderSize(settings.headerLimitBytes());
        // With a smaller initial size, Jetty generates the response head twice and then fails to close the connection.
        httpConfig.setResponseHeaderSize(MAX_RESPONSE_HEADER_BYTES + HEADER_RESERVE_BYTES);
        httpConfig.setMaxResponseHeaderSize(MAX_RESPONSE_HEADER_BYTES + HEADER_RESERVE_BYTES);
        // Jetty would keep about 14 KB of parsed fields for each connection.
        httpConfig.setHeaderCacheSize(0);
        httpConfig.setSendServerVersion(false);
        httpConfig.setSendDateHeader(false);
        httpConfig.setHttpCompliance(HttpCompliance.RFC9110);
        httpConfig.setUriCompliance(URI_COMPLIANCE);
        return httpConfig;
    }
}
