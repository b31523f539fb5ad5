package org.sardinepost.daemon.http;

import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Sends requests over HTTP/1.1 and ends the connections of responses that do not end. */
public class BoundedHttpTransport extends HttpClientTransportOverHTTP {
    /** For services of the deployment, whose responses have few headers. */
    private static final int MAX_RESPONSE_HEADER_BYTES = 16 << 10;

    protected BoundedHttpTransport(ClientConnector connector) {
        super(connector);
    }

    /** Creates a client for requests of the daemon itself, whose response headers are bounded as well. */
    public static HttpClient newClient(ClientConnector connector) {
        HttpClient client = newClient(new BoundedHttpTransport(connector));
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        return client;
    }

    /** Creates a client whose connections share no buffers that they read into. */
    static HttpClient newClient(BoundedHttpTransport transport) {
        HttpClient client = new HttpClient(transport);
        client.setByteBufferPool(new UnsharedInputBufferPool());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(true);
        return client;
    }

    @Override
    public final Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
        BoundedConnection connection = newBoundedConnection(endPoint, context);
        connection.setInitialize(isInitializeConnections());
        return connection;
    }

    BoundedConnection newBoundedConnection(EndPoint endPoint, Map<String, Object> context) {
        return new BoundedConnection(endPoint, context);
    }
}
