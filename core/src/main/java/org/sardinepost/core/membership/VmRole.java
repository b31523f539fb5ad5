package org.sardinepost.core.membership;

/** The role of a VM. */
public enum VmRole {
    UPSTREAM,
    DAEMON
}
