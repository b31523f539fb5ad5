package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.SectionFormat;

/**
 * Reports keys that their section does not define.
 *
 * <p>If a misspelt key were ignored, the default would silently remain in effect.
 */
public final class KeyNames implements Rule {
    private final FileFormat format;

    public KeyNames(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections()) {
            Optional<SectionFormat> sectionFormat = format.formatOf(section);
            if (sectionFormat.isPresent()) {
                addUnknownKeys(findings, document, section, sectionFormat.get());
            }
        }
        return findings;
    }

    @Override
    public boolean checksSectionsSeparately() {
        return true;
    }

    private static void addUnknownKeys(
            List<Finding> findings, IniDocument document, IniSection section, SectionFormat format) {
        for (IniEntry entry : section.entries()) {
            if (format.key(entry.key()).isEmpty()) {
                findings.add(document.finding(section, entry, "the key is unknown", remedy(format)));
            }
        }
    }

    private static String remedy(SectionFormat format) {
        return format.keys().stream().map(Key::name).collect(Collectors.joining(", ", "remove it or use one of ", ""));
    }
}
