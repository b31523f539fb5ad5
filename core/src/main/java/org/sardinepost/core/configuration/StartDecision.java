package org.sardinepost.core.configuration;

/** Whether a started daemon may serve callers. */
public enum StartDecision {
    WAITING,
    READY,
    /** Ready without having learned and received the highest version of its peers; nothing proves that it is not older. */
    READY_UNPROVEN
}
