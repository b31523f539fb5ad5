package org.sardinepost.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/**
 * An entry of the VM list.
 *
 * @param address the address of an upstream for calls, or the peer address of a daemon
 * @param service the service of an upstream; empty for a daemon
 * @param instance the name of the running process; a later process at the same address has a different name
 * @param warmingUp whether the process of an upstream reports that it has just started and accepts few calls
 */
public record Vm(
        UpstreamId address,
        VmRole role,
        String service,
        String failureDomain,
        VmState state,
        Optional<String> instance,
        boolean warmingUp) {
    /** Creates an entry that is not warming up. */
    public Vm(
            UpstreamId address,
            VmRole role,
            String service,
            String failureDomain,
            VmState state,
            Optional<String> instance) {
        this(address, role, service, failureDomain, state, instance, false);
    }

    public Vm {
        Objects.requireNonNull(address);
        Objects.requireNonNull(role);
        Objects.requireNonNull(service);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(state);
        Objects.requireNonNull(instance);
    }
}
