package org.sardinepost.daemon.control;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** The incarnations whose token tables this daemon holds, its own first. Thread-safe. */
final class HeldIncarnations {
    private final long own;
    private volatile Set<Long> held;

    HeldIncarnations(long own) {
        this.own = own;
        this.held = Set.of(own);
    }

    synchronized void add(long incarnation) {
        Set<Long> more = new LinkedHashSet<>(held);
        more.add(incarnation);
        held = Collections.unmodifiableSet(more);
    }

    /** The incarnation of this process. */
    long own() {
        return own;
    }

    Set<Long> all() {
        return held;
    }
}
