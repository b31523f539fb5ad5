package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Problem;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.SectionFormat;

/**
 * Reports values that are invalid for their key.
 *
 * <p>An invalid value is never replaced by the default, because the operator would assume that the value is in effect.
 */
public final class KeyValues implements Rule {
    private final FileFormat format;

    public KeyValues(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections().stream()
                .flatMap(
                        section -> format.formatOf(section).stream().flatMap(sectionFormat -> section.entries().stream()
                                .flatMap(entry -> invalidValues(document, section, entry, sectionFormat))))
                .toList();
    }

    private static Stream<Finding> invalidValues(
            IniDocument document, IniSection section, IniEntry entry, SectionFormat format) {
        return format.key(entry.key()).stream()
                .flatMap(key -> entry.parse(key.type()).problems().stream())
                .map((Problem problem) -> document.finding(section, entry, problem.message(), problem.remedy()));
    }
}
