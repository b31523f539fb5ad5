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
 * Every value is valid for its key.
 *
 * <p>A value that cannot be read is never replaced by a default, because the operator would believe it to be in force.
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
                                .flatMap(entry -> problems(document, section, entry, sectionFormat))))
                .toList();
    }

    private static Stream<Finding> problems(
            IniDocument document, IniSection section, IniEntry entry, SectionFormat format) {
        return format.key(entry.key()).stream()
                .flatMap(key -> entry.parse(key.type()).problems().stream())
                .map((Problem problem) -> document.finding(section, entry, problem.message(), problem.remedy()));
    }
}
