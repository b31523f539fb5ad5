package org.sardinepost.daemon;

import java.time.Duration;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.sardinepost.daemon.http.PlainClientConnector;

/** Creates the HTTP client that passes requests and answers on unchanged. */
final class ClientFactory {
    private static final int SELECTORS = 2;
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 256;
    /** Some hundred round trips in a region; an upstream that does not answer by then is down. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** Below the 10 s after which upstreams close idle connections, so that they don't close one while it is written to. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(8);

    /** Upstreams that are gone for this long are forgotten. */
    private static final Duration DESTINATION_IDLE_TIMEOUT = Duration.ofMinutes(5);

    /** For the headers that the daemon adds to a request within the limit. */
    private static final int HEADER_ROOM_BYTES = 2 << 10;

    private ClientFactory() {}

    static HttpClient create(int headerLimitBytes) {
        ClientConnector connector = new PlainClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        connector.setIdleTimeout(IDLE_TIMEOUT);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
        client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT.toMillis());
        client.setMaxRequestHeadersSize(HEADER_ROOM_BYTES + headerLimitBytes);
        client.setMaxResponseHeadersSize(CallerServerFactory.MAX_ANSWER_HEADER_BYTES);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setHttpCompliance(HttpCompliance.RFC9110);
        client.addBean(new InterimAnswersOnly(client));
        return client;
    }

    /** Interim answers are skipped; redirects, authentication and upgrades go to the caller as they are. */
    private static final class InterimAnswersOnly extends org.eclipse.jetty.util.component.AbstractLifeCycle {
        private final HttpClient client;

        InterimAnswersOnly(HttpClient client) {
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
