package org.sardinepost.core.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The platform's list of VMs, which can be outdated.
 *
 * @param evacuatedDomains the failure domains whose upstreams must get no requests
 */
public record VmList(List<Vm> vms, Set<String> evacuatedDomains) {
    public VmList {
        vms = List.copyOf(vms);
        evacuatedDomains = Set.copyOf(evacuatedDomains);
    }

    /** Creates a list without evacuated domains. */
    public VmList(List<Vm> vms) {
        this(vms, Set.of());
    }

    public Optional<Vm> vm(UpstreamId address) {
        return vms.stream().filter(vm -> vm.address().equals(address)).findFirst();
    }

    public List<Upstream> liveUpstreams(String service) {
        return upstreams(service, VmState.LIVE);
    }

    public List<Upstream> leavingUpstreams(String service) {
        return upstreams(service, VmState.LEAVING);
    }

    /** Returns the peer addresses of the live daemons. */
    public List<UpstreamId> liveDaemons() {
        return daemons(VmState.LIVE);
    }

    /** Returns the peer addresses of the daemons that are stopping. */
    public List<UpstreamId> leavingDaemons() {
        return daemons(VmState.LEAVING);
    }

    private List<Upstream> upstreams(String service, VmState state) {
        return vms.stream()
                .filter(vm -> vm.role() == VmRole.UPSTREAM)
                .filter(vm -> vm.state() == state)
                .filter(vm -> vm.service().equals(service))
                .map(vm -> new Upstream(vm.address(), vm.failureDomain(), vm.instance()))
                .toList();
    }

    private List<UpstreamId> daemons(VmState state) {
        return vms.stream()
                .filter(vm -> vm.role() == VmRole.DAEMON)
                .filter(vm -> vm.state() == state)
                .map(Vm::address)
                .toList();
    }
}
