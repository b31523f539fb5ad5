package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;

/** Queries the load of upstreams on the health path of their service. */
public final class UpstreamProber {
    /** A response that arrives later does not reflect the load at the time of the routing decision. */
    private static final long PROBE_TIMEOUT_MILLIS = 50;

    /**
     * Selects connections of their own for probes. A late copy of the response to a probe, which nothing identifies, thus
     * cannot be taken for the response to a call.
     */
    private static final String CONNECTION_TAG = "probe";

    private final HttpClient client;
    private final UpstreamProtocol protocol;

    /** Receives what an upstream reports in the response to a probe. */
    public interface Listener {
        void loadReported(Upstream upstream, ReportedLoad load);

        /** Called if the upstream reports that it is leaving, before its load is reported. */
        void leavingReported(Upstream upstream);

        /** Called if the upstream turns the probe away and asks for a time without requests. */
        void retryAfterReported(Upstream upstream, Duration delay);

        /**
         * Called with the time for which the upstream is still cold, zero if it is warm, before its load is reported. Not
         * called for responses that are no success.
         */
        void warmUpReported(Upstream upstream, Duration remaining);
    }

    public UpstreamProber(HttpClient client, UpstreamProtocol protocol) {
        this.client = client;
        this.protocol = protocol;
    }

    /** Sends a probe to one upstream. The listener is not called if no response arrives within the timeout. */
    public void probe(Upstream upstream, String healthPath, Listener listener) {
        Request request = client.newRequest(upstream.id().host(), upstream.id().port())
                .path(healthPath)
                .tag(CONNECTION_TAG)
                .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        request.onResponseHeaders(response -> {
            if (protocol.healthLeaving(response.getHeaders())) {
                listener.leavingReported(upstream);
            }
            ResponseClassifier.retryAfter(response.getStatus(), response.getHeaders())
                    .ifPresent(delay -> listener.retryAfterReported(upstream, delay));
            if (HttpStatus.isSuccess(response.getStatus())) {
                protocol.healthWarmUp(response.getHeaders())
                        .ifPresent(remaining -> listener.warmUpReported(upstream, remaining));
            }
            protocol.healthLoad(response.getHeaders()).ifPresent(load -> listener.loadReported(upstream, load));
        });
        // A failed probe reports no load; the dispatcher then assumes the usual load.
        request.send(result -> {});
    }
}
