package org.sardinepost.core.membership;

/** What a resumed process must learn again before it dispatches. */
public enum Evidence {
    /** The VM list was read again. */
    VM_LIST,
    /** A peer sent its leaving marks and its configuration version. */
    PEER
}
