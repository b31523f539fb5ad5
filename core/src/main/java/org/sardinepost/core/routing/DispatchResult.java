package org.sardinepost.core.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * How a dispatch ended and what the answer said about the upstream.
 *
 * @param kind how the dispatch ended
 * @param load load that the answer reported, if any
 * @param leaving whether the answer said that the upstream is leaving
 */
public record DispatchResult(Kind kind, Optional<ReportedLoad> load, boolean leaving) {
    /** How a dispatch ended. */
    public enum Kind {
        ANSWERED,
        /** The upstream answered with a server error or broke off. */
        FAILED,
        /** The upstream refused before starting. */
        REFUSED,
        CONNECT_FAILED,
        /** The caller went away. */
        CANCELLED
    }

    public DispatchResult {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(load);
    }

    public static DispatchResult of(Kind kind) {
        return new DispatchResult(kind, Optional.empty(), false);
    }
}
