package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.routing.ReportedLoad;

/**
 * What upstreams speak.
 *
 * <p>Requests and answers inside the daemon carry its own headers, see docs/callers.md. Upstreams of a platform with other
 * headers are reached through an implementation that translates at this place. Implementations are thread-safe and don't
 * block.
 */
public interface UpstreamProtocol {
    /** The request as the upstream reads it. */
    HeldRequest request(HeldRequest own);

    /**
     * The answer with the daemon's own headers.
     *
     * @param sent the request as the upstream read it
     * @throws SendException if this is no answer to the request
     */
    HeldAnswer answer(HeldRequest sent, HeldAnswer answer);

    /** The load that an upstream told on its health path; empty if it told none. */
    default Optional<ReportedLoad> healthLoad(HttpFields headers) {
        return Optional.ofNullable(headers.get(CallHeaders.LOAD)).flatMap(ReportedLoad::parse);
    }

    /**
     * Whether an answer without a length is whole when its connection ends without a reset.
     *
     * <p>Not by default, since a process that ends also closes its connections.
     */
    default boolean closeEndsAnswer() {
        return false;
    }

    /** Upstreams that read and write the daemon's own headers. */
    static UpstreamProtocol own() {
        return new UpstreamProtocol() {
            @Override
            public HeldRequest request(HeldRequest own) {
                return own;
            }

            @Override
            public HeldAnswer answer(HeldRequest sent, HeldAnswer answer) {
                return answer;
            }
        };
    }
}
