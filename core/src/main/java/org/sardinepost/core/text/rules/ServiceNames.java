package org.sardinepost.core.text.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports services without a valid name.
 *
 * <p>The name must be valid in the Host header, by which callers address a service.
 */
public final class ServiceNames implements Rule {
    private static final Name NAME = new Name();

    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(ServiceKeys.SECTION).stream()
                .flatMap(section -> nameFindings(document, section))
                .toList();
    }

    private static Stream<Finding> nameFindings(IniDocument document, IniSection section) {
        String name = ServiceKeys.SECTION.nameOf(section);
        if (name.isEmpty()) {
            return Stream.of(document.finding(section, "the service has no name", "write [service NAME]"));
        }
        return NAME.parse(name).problems().stream()
                .map(problem -> document.finding(section, problem.message(), problem.remedy()));
    }
}
