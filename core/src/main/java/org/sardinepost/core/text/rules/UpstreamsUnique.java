package org.sardinepost.core.text.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServiceKeys;

/**
 * No upstream is listed twice or for two services.
 *
 * <p>Its slots would be counted twice, and calls of one service would reach the program of another.
 */
public final class UpstreamsUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        Map<UpstreamId, IniSection> owners = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections(ServiceKeys.SECTION)) {
            for (Upstream upstream : ServiceKeys.UPSTREAMS.find(section).orElse(List.of())) {
                IniSection owner = owners.putIfAbsent(upstream.id(), section);
                if (owner != null) {
                    findings.add(finding(document, section, upstream, owner));
                }
            }
        }
        return findings;
    }

    private static Finding finding(IniDocument document, IniSection section, Upstream upstream, IniSection owner) {
        return document.finding(
                section,
                ServiceKeys.UPSTREAMS,
                "upstream " + upstream.id() + " is listed already in " + owner.label(),
                "remove it from one place");
    }
}
