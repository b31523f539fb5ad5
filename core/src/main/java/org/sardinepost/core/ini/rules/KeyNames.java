package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.SectionRule;

/**
 * Reports keys that their section does not define.
 *
 * <p>If a misspelt key were ignored, the default would silently remain in effect.
 */
public final class KeyNames implements SectionRule {
    private final FileFormat format;

    public KeyNames(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document, IniSection section) {
        return format.formatOf(section)
                .map(sectionFormat -> unknownKeys(document, section, sectionFormat))
                .orElse(List.of());
    }

    private static List<Finding> unknownKeys(IniDocument document, IniSection section, SectionFormat format) {
        List<Finding> findings = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            if (format.key(entry.key()).isEmpty()) {
                findings.add(document.finding(section, entry, "the key is unknown", remedy(format)));
            }
        }
        return findings;
    }

    private static String remedy(SectionFormat format) {
        return format.keys().stream().map(Key::name).collect(Collectors.joining(", ", "remove it or use one of ", ""));
    }
}
