package org.sardinepost.core.membership;

/** The state of a VM according to the VM list. */
public enum VmState {
    LIVE,
    LEAVING
}
