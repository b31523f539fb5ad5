package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/** The sections that a file may contain. */
public record FileFormat(List<SectionFormat> sections) {
    public FileFormat {
        sections = List.copyOf(sections);
    }

    public Optional<SectionFormat> formatOf(IniSection section) {
        for (SectionFormat format : sections) {
            if (format.matches(section)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }
}
