package org.sardinepost.core.routing;

import java.util.Objects;

/**
 * The daemon that sends a call.
 *
 * @param daemon its peer address; empty if unknown
 * @param failureDomain its failure domain; empty if unknown
 */
public record Origin(String daemon, String failureDomain) {
    public Origin {
        Objects.requireNonNull(daemon);
        Objects.requireNonNull(failureDomain);
    }

    /** Returns the origin of a call whose daemon is unknown. */
    public static Origin unknown() {
        return new Origin("", "");
    }
}
