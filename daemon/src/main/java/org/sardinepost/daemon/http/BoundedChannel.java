package org.sardinepost.daemon.http;

import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.Promise;

/** A channel that stops reading a response once its exchange is aborted. */
final class BoundedChannel extends HttpChannelOverHTTP {
    private volatile boolean responseDue;

    BoundedChannel(HttpConnectionOverHTTP connection) {
        super(connection);
    }

    @Override
    protected HttpReceiverOverHTTP newHttpReceiver() {
        return new BoundedReceiver(this);
    }

    @Override
    public boolean associate(HttpExchange exchange) {
        boolean associated = super.associate(exchange);
        if (associated) {
            responseDue = true;
        }
        return associated;
    }

    /** Returns whether the final response to the last request is still to come. */
    boolean responseDue() {
        return responseDue;
    }

    void finalResponseStarted() {
        responseDue = false;
    }

    /**
     * Closes the connection if the exchange has not ended yet: Jetty ends it only after the bytes that it is reading, of which
     * there may be no end.
     */
    @Override
    public void abort(
            HttpExchange exchange, Throwable requestFailure, Throwable responseFailure, Promise<Boolean> promise) {
        super.abort(exchange, requestFailure, responseFailure, promise);
        if (getHttpExchange() == exchange) {
            getHttpConnection().getEndPoint().close();
        }
    }

    /** Closes the connection after an interim response that Jetty takes for the final one, which is still due. */
    @Override
    public void exchangeTerminated(HttpExchange exchange, Result result) {
        if (HttpStatus.isInformational(result.getResponse().getStatus())) {
            getHttpConnection().getEndPoint().close();
        }
        super.exchangeTerminated(exchange, result);
    }
}
