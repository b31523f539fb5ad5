package org.sardinepost.core.text.rules;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports services that depend on themselves, directly or through other services.
 *
 * <p>Services that wait for each other occupy each other's slots, and a nested call could follow the cycle until it
 * reaches the maximum depth. Of several cycles with a common service, only one is reported at a time.
 */
public final class DependenciesAcyclic implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        Map<String, IniSection> sections = new LinkedHashMap<>();
        document.sections(ServiceKeys.SECTION)
                .forEach(section -> sections.putIfAbsent(ServiceKeys.SECTION.nameOf(section), section));
        Map<String, List<String>> dependencies = new LinkedHashMap<>();
        sections.forEach((name, section) ->
                dependencies.put(name, ServiceKeys.DEPENDS_ON.find(section).orElse(List.of())));
        return new DependencyCycles(dependencies)
                .find().stream()
                        .map(cycle -> finding(document, sections.get(cycle.get(0)), cycle))
                        .toList();
    }

    private static Finding finding(IniDocument document, IniSection section, List<String> cycle) {
        return document.finding(
                section,
                ServiceKeys.DEPENDS_ON,
                "the dependencies form the cycle " + String.join(" -> ", cycle) + " -> " + cycle.get(0),
                "remove one of these dependencies");
    }
}
