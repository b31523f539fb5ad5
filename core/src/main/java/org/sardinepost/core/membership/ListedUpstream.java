package org.sardinepost.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** An upstream that is in the VM list, or was in an earlier one. */
record ListedUpstream(
        UpstreamId id, String service, String failureDomain, ListedState state, Optional<String> instance) {
    ListedUpstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(state);
        Objects.requireNonNull(instance);
    }

    static ListedUpstream of(Vm vm) {
        ListedState state = vm.state() == VmState.LIVE ? ListedState.LIVE : ListedState.LEAVING;
        return new ListedUpstream(vm.address(), vm.service(), vm.failureDomain(), state, vm.instance());
    }

    ListedUpstream asAbsent() {
        return new ListedUpstream(id, service, failureDomain, ListedState.ABSENT, instance);
    }

    Upstream upstream() {
        return new Upstream(id, failureDomain, instance);
    }
}
