package org.sardinepost.daemon.control;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** The incarnations whose token tables this daemon holds, starting with its own. Thread-safe. */
final class HeldIncarnations {
    private final long own;
    private volatile Set<Long> held;

    HeldIncarnations(long own) {
        this.own = own;
        this.held = Set.of(own);
    }

    synchronized void add(long incarnation) {
        Set<Long> extended = new LinkedHashSet<>(held);
        extended.add(incarnation);
        held = Collections.unmodifiableSet(extended);
    }

    /** Returns the incarnation of this process. */
    long own() {
        return own;
    }

    Set<Long> all() {
        return held;
    }
}
