package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/**
 * The sections of an INI file in file order, including duplicates, which rules report.
 *
 * @param changedSections the sections without an equal one in the previous document, if that was valid; otherwise all
 */
public record IniDocument(
        String file, List<IniSection> sections, List<MalformedLine> malformedLines, List<IniSection> changedSections) {
    public IniDocument {
        sections = List.copyOf(sections);
        malformedLines = List.copyOf(malformedLines);
        changedSections = List.copyOf(changedSections);
    }

    /** Returns the document without the sections that were valid in the previous document. */
    IniDocument withChangedSectionsOnly() {
        return new IniDocument(file, changedSections, malformedLines, changedSections);
    }

    /** Returns the first section with the given name. */
    public Optional<IniSection> section(String name) {
        return sections.stream().filter(section -> section.name().equals(name)).findFirst();
    }

    /** Returns the sections that match the format. */
    public List<IniSection> sections(SectionFormat format) {
        return sections.stream().filter(format::matches).toList();
    }

    /** Returns a finding at the section's header. */
    public Finding finding(IniSection section, String message, String remedy) {
        return new Finding(file, section.line(), section.label(), message, remedy);
    }

    /** Returns a finding at an entry of the section. */
    public Finding finding(IniSection section, IniEntry entry, String message, String remedy) {
        return new Finding(file, entry.line(), section.label(entry.key()), message, remedy);
    }

    /** Returns a finding at a key of the section, or at the section header if the key is not set. */
    public Finding finding(IniSection section, Key<?> key, String message, String remedy) {
        int line = section.entry(key.name()).map(IniEntry::line).orElse(section.line());
        return new Finding(file, line, section.label(key.name()), message, remedy);
    }
}
