package org.sardinepost.daemon.token;

import java.util.Optional;

/** Finds the daemon that answers for the tokens of an incarnation. */
@FunctionalInterface
public interface IssuerDirectory {
    /** Its caller address; empty if no known daemon holds the incarnation. */
    Optional<String> callerAddressFor(long incarnation);
}
