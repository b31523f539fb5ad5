package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.routing.ReportedLoad;

/**
 * Translates requests and responses between the headers of the daemon and those of the upstreams.
 *
 * <p>Inside the daemon, requests and responses have the headers that docs/callers.md describes. A platform whose upstreams
 * use other headers provides its own implementation. Implementations must be thread-safe and must not block.
 */
public interface UpstreamProtocol {
    /** Translates a request to the form that is sent to the upstream. */
    BufferedRequest translateRequest(BufferedRequest request);

    /**
     * Returns the id that responses to the request bear; empty if they bear none.
     *
     * <p>The daemon sends an id at most once on a connection, as a late copy of the first response could otherwise be
     * mistaken for the second one.
     *
     * @param sentRequest the request in the form that is sent to the upstream
     */
    default Optional<String> attemptId(BufferedRequest sentRequest) {
        return Optional.empty();
    }

    /**
     * Translates the head of a response to that of the daemon. The body, which is not known yet, is empty.
     *
     * @param sentRequest the request in the form that was sent to the upstream
     * @throws SendException if this is not a response to the request
     */
    BufferedResponse translateResponse(BufferedRequest sentRequest, BufferedResponse response);

    /**
     * Returns whether another request may be sent on a connection after this response.
     *
     * <p>False if a late copy of the response could be mistaken for the response to the next request. The rest of such a
     * response is not read, so it must not have a body that matters.
     *
     * @param sentRequest the request in the form that was sent to the upstream
     * @param response the head of the response as the upstream sent it
     */
    default boolean permitsConnectionReuse(BufferedRequest sentRequest, BufferedResponse response) {
        return true;
    }

    /** Returns whether an upstream reported on its health path that it is leaving. */
    default boolean healthLeaving(HttpFields headers) {
        return ResponseClassifier.isDraining(headers);
    }

    /** Returns the load that an upstream reported on its health path; empty if it reported none. */
    default Optional<ReportedLoad> healthLoad(HttpFields headers) {
        return Optional.ofNullable(headers.get(CallHeaders.LOAD)).flatMap(ReportedLoad::parse);
    }

    /**
     * Returns for how long an upstream reported on its health path that it accepts few calls; zero if it is warm, and empty
     * if what it reported cannot be read.
     */
    default Optional<Duration> healthWarmUp(HttpFields headers) {
        return RemainingWarmUp.parse(headers.get(CallHeaders.WARMING_UP_MS));
    }

    /**
     * Returns whether a response without a length is complete when its connection is closed without a reset.
     *
     * <p>False by default, since the connections of a process that exits are closed in the same way.
     */
    default boolean acceptsCloseDelimitedResponses() {
        return false;
    }

    /** Returns the protocol of upstreams that use the headers of the daemon, without translation. */
    static UpstreamProtocol untranslated() {
        return new UpstreamProtocol() {
            @Override
            public BufferedRequest translateRequest(BufferedRequest request) {
                return request;
            }

            @Override
            public BufferedResponse translateResponse(BufferedRequest sentRequest, BufferedResponse response) {
                return response;
            }
        };
    }
}
