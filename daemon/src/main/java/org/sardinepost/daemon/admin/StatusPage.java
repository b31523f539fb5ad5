package org.sardinepost.daemon.admin;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The status page, which consists of {@code key: value} lines reported by the components of the daemon. */
public final class StatusPage {
    private final List<Supplier<List<String>>> sections = new CopyOnWriteArrayList<>();

    public void addSection(Supplier<List<String>> lines) {
        sections.add(lines);
    }

    String render() {
        return sections.stream().flatMap(section -> section.get().stream()).collect(Collectors.joining("\n"));
    }
}
