package org.sardinepost.core.configuration;

/** The decision whether a daemon may serve callers after its startup. */
public enum StartDecision {
    WAITING,
    READY,
    /**
     * Ready without confirmation that the daemon holds the highest version of its peers; its version may be outdated.
     */
    READY_UNPROVEN
}
