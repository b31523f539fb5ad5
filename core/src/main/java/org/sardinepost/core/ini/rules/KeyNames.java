package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
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
        return document.sections().stream()
                .flatMap(section -> format.formatOf(section).stream()
                        .flatMap(sectionFormat -> unknownKeys(document, section, sectionFormat)))
                .toList();
    }

    private static Stream<Finding> unknownKeys(IniDocument document, IniSection section, SectionFormat format) {
        return section.entries().stream()
                .filter(entry -> format.key(entry.key()).isEmpty())
                .map(entry -> document.finding(section, entry, "the key is unknown", remedy(format)));
    }

    private static String remedy(SectionFormat format) {
        return format.keys().stream().map(Key::name).collect(Collectors.joining(", ", "remove it or use one of ", ""));
    }
}
