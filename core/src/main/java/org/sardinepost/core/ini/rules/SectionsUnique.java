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
 * No section and no name of a section occurs twice.
 *
 * <p>It would depend on the order which of them is in force.
 */
public final class SectionsUnique implements Rule {
    private final FileFormat format;

    public SectionsUnique(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        Map<String, IniSection> first = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections()) {
            IniSection earlier = first.putIfAbsent(identity(section), section);
            if (earlier != null) {
                findings.add(document.finding(
                        section,
                        "the section occurs already on line " + earlier.line(),
                        "merge the two sections or give them different names"));
            }
        }
        return findings;
    }

    private String identity(IniSection section) {
        return format.formatOf(section)
                .filter(SectionFormat::named)
                .map(named -> named.header() + " " + named.nameOf(section))
                .orElse(section.name());
    }
}
