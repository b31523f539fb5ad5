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
 * Finds cycles in a dependency graph.
 *
 * <p>Repeatedly removes services without remaining dependencies. From any service that remains, following remaining
 * dependencies leads into a cycle. The search is not recursive, because a text may chain tens of thousands of services.
 */
final class DependencyCycles {
    private final Map<String, Set<String>> dependencies = new LinkedHashMap<>();
    private final Map<String, List<String>> dependents = new HashMap<>();

    DependencyCycles(Map<String, List<String>> graph) {
        graph.forEach((name, targets) -> {
            Set<String> knownTargets = new LinkedHashSet<>(targets);
            knownTargets.retainAll(graph.keySet());
            dependencies.put(name, knownTargets);
            knownTargets.forEach(target ->
                    dependents.computeIfAbsent(target, key -> new ArrayList<>()).add(name));
        });
    }

    /** Returns cycles that have no services in common; each starts with the service that the search reaches first. */
    List<List<String>> find() {
        dependencies.keySet().stream()
                .filter(name -> dependencies.get(name).isEmpty())
                .toList()
                .forEach(name -> removeServices(List.of(name)));
        List<List<String>> cycles = new ArrayList<>();
        Optional<String> remaining = firstRemaining();
        while (remaining.isPresent()) {
            List<String> cycle = findCycleFrom(remaining.get());
            cycles.add(cycle);
            removeServices(cycle);
            remaining = firstRemaining();
        }
        return cycles;
    }

    private Optional<String> firstRemaining() {
        return dependencies.keySet().stream().findFirst();
    }

    private List<String> findCycleFrom(String start) {
        List<String> path = new ArrayList<>();
        Map<String, Integer> indexes = new HashMap<>();
        String name = start;
        while (indexes.putIfAbsent(name, path.size()) == null) {
            path.add(name);
            name = dependencies.get(name).iterator().next();
        }
        return List.copyOf(path.subList(indexes.get(name), path.size()));
    }

    private void removeServices(List<String> names) {
        Deque<String> queue = new ArrayDeque<>(names);
        while (!queue.isEmpty()) {
            String name = queue.remove();
            dependencies.remove(name);
            dependents.getOrDefault(name, List.of()).stream()
                    .filter(dependent -> removeDependency(name, dependent))
                    .forEach(queue::add);
        }
    }

    /** Removes the dependency; returns whether this was the last dependency of a remaining service. */
    private boolean removeDependency(String dependency, String dependent) {
        Set<String> remaining = dependencies.get(dependent);
        return remaining != null && remaining.remove(dependency) && remaining.isEmpty();
    }
}
