package org.sardinepost.core.membership;

/** A source of state that a resumed process must refresh before it dispatches again. */
public enum StateSource {
    /** The VM list was read after the pause. */
    VM_LIST,
    /** A peer sent its leaving marks and its configuration version after the pause. */
    PEER
}
