package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of a dispatch and the upstream state that the response reported.
 *
 * @param kind how the dispatch ended
 * @param load the load that the response reported, if any
 * @param leaving whether the response reported that the upstream is leaving
 * @param retryAfter the time for which the upstream asked this daemon to send it no calls, if it did
 */
public record DispatchResult(Kind kind, Optional<ReportedLoad> load, boolean leaving, Optional<Duration> retryAfter) {
    /** The way in which a dispatch ended. */
    public enum Kind {
        ANSWERED,
        /** The upstream responded with a server error or ended the response prematurely. */
        FAILED,
        /** The upstream refused the call before starting it. */
        REFUSED,
        CONNECT_FAILED,
        /** The caller cancelled the call. */
        CANCELLED
    }

    public DispatchResult {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(load);
        Objects.requireNonNull(retryAfter);
    }

    /** Creates a result of an upstream that did not ask for a time without calls. */
    public DispatchResult(Kind kind, Optional<ReportedLoad> load, boolean leaving) {
        this(kind, load, leaving, Optional.empty());
    }

    public static DispatchResult of(Kind kind) {
        return new DispatchResult(kind, Optional.empty(), false);
    }
}
