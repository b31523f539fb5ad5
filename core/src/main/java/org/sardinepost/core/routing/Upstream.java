package org.sardinepost.core.routing;

import java.util.Objects;

/** One upstream of a service and the failure domain it runs in. */
public record Upstream(UpstreamId id, String failureDomain) {
    public Upstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(failureDomain);
    }
}
