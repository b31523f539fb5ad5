package org.sardinepost.daemon.admin;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The lines {@code key: value} that the parts of the daemon report. */
public final class StatusPage {
    private final List<Supplier<List<String>>> parts = new CopyOnWriteArrayList<>();

    public void add(Supplier<List<String>> lines) {
        parts.add(lines);
    }

    String text() {
        return parts.stream().flatMap(part -> part.get().stream()).collect(Collectors.joining("\n"));
    }
}
