package org.sardinepost.daemon.http;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.client.transport.HttpExchange;

/** Selects a connection on which the next attempt was not sent yet, and bounds what connections remember. */
final class AttemptConnectionPool extends DuplexConnectionPool {
    private static final int MAX_EXCHANGES_PER_CONNECTION = 512;

    private final HttpDestination destination;

    AttemptConnectionPool(HttpDestination destination, int maxConnections) {
        super(destination, maxConnections);
        this.destination = destination;
        setMaxUsage(MAX_EXCHANGES_PER_CONNECTION);
    }

    /**
     * Closes the connections that are idle. Each is taken from the pool first, so that no exchange can begin on it
     * meanwhile.
     */
    void closeIdle() {
        for (Connection idle = super.activate(); idle != null; idle = super.activate()) {
            idle.close();
        }
    }

    @Override
    protected Connection activate() {
        HttpExchange next = destination.getHttpExchanges().peek();
        List<Connection> unsuitable = new ArrayList<>(0);
        Connection connection = super.activate();
        while (connection instanceof AttemptConnection attempts
                && next != null
                && !attempts.maySend(next.getRequest())) {
            unsuitable.add(connection);
            connection = super.activate();
        }
        for (Connection idle : unsuitable) {
            if (!release(idle)) {
                idle.close();
            }
        }
        return connection;
    }
}
