package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.SectionFormat;

/**
 * Reports sections that occur twice; named sections may not share a name.
 *
 * <p>Which of the sections takes effect would depend on their order.
 */
public final class SectionsUnique implements Rule {
    private final FileFormat format;

    public SectionsUnique(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        Map<String, IniSection> firstByHeader = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections()) {
            IniSection earlier = firstByHeader.putIfAbsent(normalizedHeader(section), section);
            if (earlier != null) {
                findings.add(document.finding(
                        section,
                        "the section already occurs on line " + earlier.line(),
                        "merge the two sections or give them different names"));
            }
        }
        return findings;
    }

    private String normalizedHeader(IniSection section) {
        return format.formatOf(section)
                .filter(SectionFormat::named)
                .map(named -> named.header() + " " + named.nameOf(section))
                .orElse(section.name());
    }
}
