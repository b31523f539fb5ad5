package org.sardinepost.core.configuration;

/** The source from which a daemon received a services text. */
public enum TextOrigin {
    FILE,
    SERVICE,
    PEER
}
