package org.sardinepost.daemon.control;

import java.util.Optional;

/** Finds the daemon that holds the token table of an incarnation. Thread-safe. */
@FunctionalInterface
public interface PeerDirectory {
    /** Returns the caller address of the peer that holds the table; empty if no known peer does. */
    Optional<String> callerAddressFor(long incarnation);
}
