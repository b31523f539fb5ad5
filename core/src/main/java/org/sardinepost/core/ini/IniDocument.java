package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/** The sections of an INI file in order, repeated names included, so that checks can report them. */
public record IniDocument(String file, List<IniSection> sections) {
    public IniDocument {
        sections = List.copyOf(sections);
    }

    /** The first section with the name. */
    public Optional<IniSection> section(String name) {
        return sections.stream().filter(section -> section.name().equals(name)).findFirst();
    }
}
