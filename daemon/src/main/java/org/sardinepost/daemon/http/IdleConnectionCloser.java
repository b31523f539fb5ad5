package org.sardinepost.daemon.http;

import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.sardinepost.core.routing.UpstreamId;

/** Closes the idle connections of a client to some of its upstreams; exchanges in progress continue. */
public final class IdleConnectionCloser {
    private final HttpClient client;

    public IdleConnectionCloser(HttpClient client) {
        this.client = client;
    }

    public void close(Set<UpstreamId> upstreams) {
        for (Destination destination : client.getDestinations()) {
            if (destination instanceof HttpDestination http
                    && http.getConnectionPool() instanceof AttemptConnectionPool pool
                    && upstream(destination).filter(upstreams::contains).isPresent()) {
                pool.closeIdle();
            }
        }
    }

    private static Optional<UpstreamId> upstream(Destination destination) {
        return UpstreamId.parse(destination.getOrigin().getAddress().asString());
    }
}
