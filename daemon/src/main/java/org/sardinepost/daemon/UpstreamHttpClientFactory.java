package org.sardinepost.daemon;

import java.time.Duration;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sardinepost.daemon.http.PlainClientConnector;
import org.sardinepost.daemon.http.UpstreamHttpTransport;

/** Creates the HTTP client for upstreams, which forwards requests and responses unchanged. */
final class UpstreamHttpClientFactory {
    private static final int SELECTORS = 2;

    /** Responses never block a thread, and each thread takes about 0.1 MiB outside the heap. */
    private static final int MAX_THREADS = 32;

    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 256;
    /** Several hundred round trips within a region; an upstream that has not accepted a connection by then is down. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** Below the 10 s idle timeout of upstreams, so that an upstream does not close a connection during a write. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(8);

    /** Time without use after which the client discards its state for an upstream. */
    private static final Duration DESTINATION_IDLE_TIMEOUT = Duration.ofMinutes(5);

    /** Space for the headers that the daemon adds to a request whose own headers are within the limit. */
    private static final int HEADER_RESERVE_BYTES = 2 << 10;

    private UpstreamHttpClientFactory() {}

    static HttpClient create(int headerLimitBytes) {
        ClientConnector connector = new PlainClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        connector.setIdleTimeout(IDLE_TIMEOUT);
        HttpClient client = UpstreamHttpTransport.newClient(connector);
        QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS);
        threadPool.setName("upstream");
        client.setExecutor(threadPool);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
        client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT.toMillis());
        client.setMaxRequestHeadersSize(HEADER_RESERVE_BYTES + headerLimitBytes);
        client.setMaxResponseHeadersSize(CallerServerFactory.MAX_RESPONSE_HEADER_BYTES);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setHttpCompliance(HttpCompliance.RFC9110);
        client.addBean(new InterimResponsesOnly(client));
        return client;
    }

    /** Skips interim (1xx) responses and passes redirects, authentication challenges and upgrades on to the caller. */
    private static final class InterimResponsesOnly extends org.eclipse.jetty.util.component.AbstractLifeCycle {
        private final HttpClient client;

        InterimResponsesOnly(HttpClient client) {
            this.client = client;
        }

        @Override
        protected void doStart() {
            client.getContentDecoderFactories().clear();
            client.getProtocolHandlers().clear();
            client.getProtocolHandlers().put(new ContinueProtocolHandler());
            client.getProtocolHandlers().put(new ProcessingProtocolHandler());
            client.getProtocolHandlers().put(new EarlyHintsProtocolHandler());
        }
    }
}
