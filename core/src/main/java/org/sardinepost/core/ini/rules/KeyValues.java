package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.Problem;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.SectionRule;

/**
 * Reports values that are invalid for their key.
 *
 * <p>An invalid value is never replaced by the default, because the operator would assume that the value is in effect.
 */
public final class KeyValues implements SectionRule {
    private final FileFormat format;

    public KeyValues(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document, IniSection section) {
        return format.formatOf(section)
                .map(sectionFormat -> invalidValues(document, section, sectionFormat))
                .orElse(List.of());
    }

    private static List<Finding> invalidValues(IniDocument document, IniSection section, SectionFormat format) {
        List<Finding> findings = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            Optional<Key<?>> key = format.key(entry.key());
            if (key.isEmpty()) {
                continue;
            }
            for (Problem problem : entry.parse(key.get().type()).problems()) {
                findings.add(document.finding(section, entry, problem.message(), problem.remedy()));
            }
        }
        return findings;
    }
}
