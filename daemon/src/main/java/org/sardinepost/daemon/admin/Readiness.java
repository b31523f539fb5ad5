package org.sardinepost.daemon.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/** Whether the platform's balancer should send calls to this daemon. */
public final class Readiness {
    private final List<Supplier<Optional<String>>> obstacles = new CopyOnWriteArrayList<>();

    /** Adds a condition: the supplier names what keeps the daemon from being ready; empty if nothing does. */
    public void require(Supplier<Optional<String>> obstacle) {
        obstacles.add(obstacle);
    }

    /** What keeps the daemon from being ready; empty if it is ready. */
    public List<String> obstacles() {
        return obstacles.stream().map(Supplier::get).flatMap(Optional::stream).toList();
    }
}
