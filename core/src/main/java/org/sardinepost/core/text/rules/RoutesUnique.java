package org.sardinepost.core.text.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.RouteKeys;

/**
 * Reports routes with the same host and path prefix.
 *
 * <p>Which of the routes matches a call would depend on their order.
 */
public final class RoutesUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        Map<String, IniSection> sectionsByHostAndPrefix = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections(RouteKeys.SECTION)) {
            String hostAndPrefix = RouteKeys.HOST.find(section).orElse("")
                    + RouteKeys.PATH_PREFIX.find(section).orElse("");
            IniSection firstSection = sectionsByHostAndPrefix.putIfAbsent(hostAndPrefix, section);
            if (firstSection != null) {
                findings.add(document.finding(
                        section,
                        RouteKeys.HOST,
                        "the host and path prefix are already used by " + firstSection.label(),
                        "change one of them or merge the two routes"));
            }
        }
        return findings;
    }
}
