package org.sardinepost.core.text.rules;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports services in depends-on that have no section.
 *
 * <p>Calls to a service that is not in the text are refused, so the dependent service would fail at run time.
 */
public final class DependenciesExist implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        List<IniSection> sections = document.sections(ServiceKeys.SECTION);
        Set<String> names = sections.stream().map(ServiceKeys.SECTION::nameOf).collect(Collectors.toSet());
        return sections.stream()
                .flatMap(section -> missingServices(document, section, names))
                .toList();
    }

    private static Stream<Finding> missingServices(IniDocument document, IniSection section, Set<String> names) {
        return ServiceKeys.DEPENDS_ON.find(section).orElse(List.of()).stream()
                .filter(dependency -> !names.contains(dependency))
                .map(dependency -> document.finding(
                        section,
                        ServiceKeys.DEPENDS_ON,
                        "service " + dependency + " does not exist",
                        "correct the name or add [service " + dependency + "]"));
    }
}
