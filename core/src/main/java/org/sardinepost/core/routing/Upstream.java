package org.sardinepost.core.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * One upstream of a service.
 *
 * @param id its address
 * @param failureDomain the failure domain it runs in
 * @param instance the instance name of the running process, if a registry provides it; a different process at the
 *     same address has a different name
 */
public record Upstream(UpstreamId id, String failureDomain, Optional<String> instance) {
    /** Creates an upstream of which only the address and the failure domain are known. */
    public Upstream(UpstreamId id, String failureDomain) {
        this(id, failureDomain, Optional.empty());
    }

    public Upstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(instance);
    }
}
