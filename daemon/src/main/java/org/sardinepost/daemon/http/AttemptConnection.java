package org.sardinepost.daemon.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.SendFailure;
import org.eclipse.jetty.io.EndPoint;
import org.sardinepost.core.retry.AttemptHistory;

/** A connection to an upstream that sends each attempt at most once. */
final class AttemptConnection extends BoundedConnection {
    private final AttemptHistory history = new AttemptHistory();

    AttemptConnection(EndPoint endPoint, Map<String, Object> context) {
        super(endPoint, context);
    }

    boolean maySend(Request request) {
        return attemptId(request).filter(history::mayContain).isEmpty();
    }

    /**
     * Refuses an attempt that was sent before, so that the client sends it on another connection. The pool selects such a
     * connection only if exchanges that are queued at the same moment overtake each other.
     */
    @Override
    public SendFailure send(HttpExchange exchange) {
        if (attemptId(exchange.getRequest()).map(history::add).orElse(true)) {
            return super.send(exchange);
        }
        close();
        return new SendFailure(new IOException("the attempt was sent on this connection before"), true);
    }

    private static Optional<String> attemptId(Request request) {
        return Optional.ofNullable((String) request.getAttributes().get(UpstreamHttpTransport.ATTEMPT_ID));
    }
}
