package org.sardinepost.daemon.call;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.UpstreamId;

/** Queries the load of upstreams on the health path of their service. */
public final class UpstreamProber {
    /** A response that arrives later does not reflect the load at the time of the routing decision. */
    private static final long PROBE_TIMEOUT_MILLIS = 50;

    private final HttpClient client;
    private final UpstreamProtocol protocol;

    /** Receives the load that an upstream reports. */
    @FunctionalInterface
    public interface Listener {
        void loadReported(UpstreamId upstream, ReportedLoad load);
    }

    public UpstreamProber(HttpClient client, UpstreamProtocol protocol) {
        this.client = client;
        this.protocol = protocol;
    }

    /** Sends a probe to one upstream. The listener is not called if no response arrives within the timeout. */
    public void probe(UpstreamId upstream, String healthPath, Listener listener) {
        Request request = client.newRequest(upstream.host(), upstream.port())
                .path(healthPath)
                .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        request.onResponseHeaders(response ->
                protocol.healthLoad(response.getHeaders()).ifPresent(load -> listener.loadReported(upstream, load)));
        // A failed probe reports no load; the dispatcher then assumes the usual load.
        request.send(result -> {});
    }
}
