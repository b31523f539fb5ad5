package org.sardinepost.core.text.rules;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds cycles in a graph of dependencies.
 *
 * <p>Removes services whose dependencies are all removed. From each service that is left, following the dependencies that
 * are left leads into a cycle. There is no recursion, because a text may chain tens of thousands of services.
 */
final class DependencyCycles {
    private final Map<String, Set<String>> dependencies = new LinkedHashMap<>();
    private final Map<String, List<String>> dependants = new HashMap<>();

    DependencyCycles(Map<String, List<String>> graph) {
        graph.forEach((name, targets) -> {
            Set<String> known = new LinkedHashSet<>(targets);
            known.retainAll(graph.keySet());
            dependencies.put(name, known);
            known.forEach(target -> dependants
                    .computeIfAbsent(target, absent -> new ArrayList<>())
                    .add(name));
        });
    }

    /** Cycles without common services; each starts with the service that is reached first. */
    List<List<String>> find() {
        dependencies.keySet().stream()
                .filter(name -> dependencies.get(name).isEmpty())
                .toList()
                .forEach(name -> remove(List.of(name)));
        List<List<String>> cycles = new ArrayList<>();
        Optional<String> left = firstLeft();
        while (left.isPresent()) {
            List<String> cycle = cycleFrom(left.get());
            cycles.add(cycle);
            remove(cycle);
            left = firstLeft();
        }
        return cycles;
    }

    private Optional<String> firstLeft() {
        return dependencies.keySet().stream().findFirst();
    }

    private List<String> cycleFrom(String start) {
        List<String> path = new ArrayList<>();
        Map<String, Integer> positions = new HashMap<>();
        String name = start;
        while (positions.putIfAbsent(name, path.size()) == null) {
            path.add(name);
            name = dependencies.get(name).iterator().next();
        }
        return List.copyOf(path.subList(positions.get(name), path.size()));
    }

    private void remove(List<String> names) {
        Deque<String> removed = new ArrayDeque<>(names);
        while (!removed.isEmpty()) {
            String name = removed.remove();
            dependencies.remove(name);
            dependants.getOrDefault(name, List.of()).stream()
                    .filter(dependant -> releases(name, dependant))
                    .forEach(removed::add);
        }
    }

    /** Removes the dependency; true if the dependant was still there and now has none. */
    private boolean releases(String dependency, String dependant) {
        Set<String> left = dependencies.get(dependant);
        return left != null && left.remove(dependency) && left.isEmpty();
    }
}
