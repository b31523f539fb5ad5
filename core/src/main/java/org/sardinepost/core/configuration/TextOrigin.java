package org.sardinepost.core.configuration;

/** Where a daemon learned a services text. */
public enum TextOrigin {
    FILE,
    SERVICE,
    PEER
}
