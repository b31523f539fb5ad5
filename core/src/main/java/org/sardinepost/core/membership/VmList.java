package org.sardinepost.core.membership;

import java.util.List;

/** The platform's list of VMs, which lags. */
public record VmList(List<Vm> vms) {
    public VmList {
        vms = List.copyOf(vms);
    }
}
