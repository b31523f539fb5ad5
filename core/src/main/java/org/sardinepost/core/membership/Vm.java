package org.sardinepost.core.membership;

import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/**
 * One entry of the VM list.
 *
 * @param address the address for calls, or the peer address of a daemon
 * @param service the service of an upstream; empty for a daemon
 */
public record Vm(UpstreamId address, VmRole role, String service, String failureDomain, VmState state) {
    public Vm {
        Objects.requireNonNull(address);
        Objects.requireNonNull(role);
        Objects.requireNonNull(service);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(state);
    }
}
