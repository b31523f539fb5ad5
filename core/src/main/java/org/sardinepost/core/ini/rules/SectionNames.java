package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.SectionRule;

/**
 * Reports sections that the format does not define.
 *
 * <p>If a misspelt section were ignored, its keys would silently have no effect.
 */
public final class SectionNames implements SectionRule {
    private final FileFormat format;

    public SectionNames(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document, IniSection section) {
        return format.formatOf(section).isPresent()
                ? List.of()
                : List.of(document.finding(section, message(section), remedy()));
    }

    private static String message(IniSection section) {
        return section.name().isEmpty() ? "there are entries without a section" : "the section is unknown";
    }

    private String remedy() {
        return format.sections().stream()
                .map(SectionFormat::headerSyntax)
                .collect(Collectors.joining(", ", "remove it or use one of ", ""));
    }
}
