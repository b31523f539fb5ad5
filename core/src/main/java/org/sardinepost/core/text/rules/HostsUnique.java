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
 * No host belongs to two services or is listed twice.
 *
 * <p>A service's name is one of its hosts. With two services for one host, calls would reach the wrong one.
 */
public final class HostsUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        List<IniSection> sections = document.sections(ServiceKeys.SECTION);
        Set<String> names = new HashSet<>();
        sections.forEach(section -> names.add(ServiceKeys.SECTION.nameOf(section)));
        Map<String, IniSection> owners = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : sections) {
            for (String host : ServiceKeys.HOSTS.find(section).orElse(List.of())) {
                IniSection owner = owners.putIfAbsent(host, section);
                if (owner != null) {
                    findings.add(finding(document, section, host, "is listed already in " + owner.label()));
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
