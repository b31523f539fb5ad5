package org.sardinepost.core.membership;

/** What runs on a VM. */
public enum VmRole {
    UPSTREAM,
    DAEMON
}
