package org.sardinepost.core.text.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.ServiceKeys;

/**
 * Reports hosts that are listed twice or are the name of a service.
 *
 * <p>The name of a service is one of its hosts. If two services had the same host, calls would reach the wrong one.
 */
public final class HostsUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        List<IniSection> sections = document.sections(ServiceKeys.SECTION);
        Set<String> names = new HashSet<>();
        sections.forEach(section -> names.add(ServiceKeys.SECTION.nameOf(section)));
        Map<String, IniSection> sectionsByHost = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : sections) {
            for (String host : ServiceKeys.HOSTS.find(section).orElse(List.of())) {
                IniSection firstSection = sectionsByHost.putIfAbsent(host, section);
                if (firstSection != null) {
                    findings.add(finding(document, section, host, "is already listed in " + firstSection.label()));
                }
                if (names.contains(host)) {
                    findings.add(finding(document, section, host, "is the name of a service"));
                }
            }
        }
        return findings;
    }

    private static Finding finding(IniDocument document, IniSection section, String host, String reason) {
        return document.finding(section, ServiceKeys.HOSTS, "host " + host + " " + reason, "remove it from one place");
    }
}
