package org.sardinepost.daemon.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/** Determines whether the platform's load balancer should send calls to this daemon. */
public final class Readiness {
    private final List<Supplier<Optional<String>>> checks = new CopyOnWriteArrayList<>();

    /** Adds a check that returns the reason why the daemon is not ready; empty if the check passes. */
    public void addCheck(Supplier<Optional<String>> check) {
        checks.add(check);
    }

    /** Returns the reasons why the daemon is not ready; empty if it is ready. */
    public List<String> unreadyReasons() {
        return checks.stream().map(Supplier::get).flatMap(Optional::stream).toList();
    }
}
