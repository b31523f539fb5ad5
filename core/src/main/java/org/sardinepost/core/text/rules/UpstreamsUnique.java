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
 * Reports upstreams that are listed twice, in one service or in two.
 *
 * <p>The slots of such an upstream would be counted twice, and calls to one service would reach another service.
 */
public final class UpstreamsUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        Map<UpstreamId, IniSection> sectionsByUpstream = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections(ServiceKeys.SECTION)) {
            for (Upstream upstream : ServiceKeys.UPSTREAMS.find(section).orElse(List.of())) {
                IniSection firstSection = sectionsByUpstream.putIfAbsent(upstream.id(), section);
                if (firstSection != null) {
                    findings.add(finding(document, section, upstream, firstSection));
                }
            }
        }
        return findings;
    }

    private static Finding finding(
            IniDocument document, IniSection section, Upstream upstream, IniSection firstSection) {
        return document.finding(
                section,
                ServiceKeys.UPSTREAMS,
                "upstream " + upstream.id() + " is already listed in " + firstSection.label(),
                "remove it from one place");
    }
}
