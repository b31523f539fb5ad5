package org.sardinepost.daemon.http;

import java.nio.channels.ClosedChannelException;
import java.util.Map;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.SendFailure;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Promise;

/** A connection whose responses cannot keep it busy, or fill the heap, beyond the time and size that their requests allow. */
class BoundedConnection extends HttpConnectionOverHTTP {
    BoundedConnection(EndPoint endPoint, Map<String, Object> context) {
        super(endPoint, context);
    }

    /** Fails an exchange that is sent while another thread closes the connection: Jetty leaves it to its timeout. */
    @Override
    public SendFailure send(HttpExchange exchange) {
        SendFailure failure = super.send(exchange);
        if (failure == null && isClosed()) {
            exchange.abort(new ClosedChannelException(), Promise.noop());
        }
        return failure;
    }

    /**
     * Fails an exchange that was sent just before another thread closed the endpoint: while that thread processes what it
     * read, the connection waits for no further bytes, and Jetty then does not tell it that its endpoint is closed.
     */
    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        close(cause == null ? new ClosedChannelException() : cause);
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
        return new BoundedChannel(this);
    }
}
