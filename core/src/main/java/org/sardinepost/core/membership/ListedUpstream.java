package org.sardinepost.core.membership;

import java.util.Objects;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** An upstream of the VM list. */
record ListedUpstream(UpstreamId id, String service, String failureDomain, ListedState state) {
    ListedUpstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(state);
    }

    static ListedUpstream of(Vm vm) {
        ListedState state = vm.state() == VmState.LIVE ? ListedState.LIVE : ListedState.LEAVING;
        return new ListedUpstream(vm.address(), vm.service(), vm.failureDomain(), state);
    }

    ListedUpstream absent() {
        return new ListedUpstream(id, service, failureDomain, ListedState.ABSENT);
    }

    Upstream upstream() {
        return new Upstream(id, failureDomain);
    }
}
