package org.sardinepost.core.membership;

/** The state of a failure domain in the VM list; a domain without a section is in service. */
public enum FailureDomainState {
    EVACUATED
}
