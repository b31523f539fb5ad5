package org.sardinepost.daemon.http;

import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;

/** Sends requests to upstreams over HTTP/1.1, each attempt at most once on a connection. */
public final class UpstreamHttpTransport extends BoundedHttpTransport {
    /** The attribute of requests whose responses bear an id: that id, a string. */
    public static final String ATTEMPT_ID = "org.sardinepost.attemptId";

    private UpstreamHttpTransport(ClientConnector connector) {
        super(connector);
        setConnectionPoolFactory(destination -> new AttemptConnectionPool(
                (HttpDestination) destination, destination.getHttpClient().getMaxConnectionsPerDestination()));
    }

    /** Creates a client for requests to upstreams. */
    public static HttpClient newClient(ClientConnector connector) {
        return newClient(new UpstreamHttpTransport(connector));
    }

    @Override
    BoundedConnection newBoundedConnection(EndPoint endPoint, Map<String, Object> context) {
        return new AttemptConnection(endPoint, context);
    }
}
