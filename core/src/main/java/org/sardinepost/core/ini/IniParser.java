package org.sardinepost.core.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads INI text into sections and entries that know their lines.
 *
 * <p>The library parses each line, but keeps no line numbers and merges repeated sections; hence every line is given to it
 * on its own.
 */
public final class IniParser {
    private IniParser() {}

    /** Parses the text. Lines that are neither section, entry, comment nor blank are reported to {@code faults}. */
    public static IniDocument parse(String file, String text, List<Finding> faults) {
        List<IniSection> sections = new ArrayList<>();
        String name = "";
        int sectionLine = 1;
        List<IniEntry> entries = new ArrayList<>();
        int number = 0;
        for (String raw : text.lines().toList()) {
            number++;
            String line = raw.trim();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            Optional<SectionHeader> header = SectionHeader.parse(line);
            if (header.isPresent()) {
                close(sections, name, sectionLine, entries);
                name = header.get().name();
                sectionLine = number;
                entries = new ArrayList<>();
                checkClosed(header.get(), line, file, number, faults);
                continue;
            }
            parseEntry(line, file, number, faults, entries);
        }
        close(sections, name, sectionLine, entries);
        return new IniDocument(file, sections);
    }

    private static void close(List<IniSection> sections, String name, int line, List<IniEntry> entries) {
        if (name.isEmpty() && entries.isEmpty()) {
            return;
        }
        sections.add(new IniSection(name, line, entries));
    }

    private static void checkClosed(SectionHeader header, String line, String file, int number, List<Finding> faults) {
        if (!header.closed()) {
            faults.add(new Finding(file, number, line, "the section header has no closing bracket", "write [NAME]"));
        }
    }

    private static void parseEntry(String line, String file, int number, List<Finding> faults, List<IniEntry> entries) {
        if (line.indexOf('=') <= 0) {
            faults.add(new Finding(file, number, line, "the line is not an entry", "write KEY = VALUE"));
            return;
        }
        INIConfiguration configuration = new INIConfiguration();
        configuration.setSeparatorUsedInInput("=");
        try {
            configuration.read(new StringReader(line));
        } catch (ConfigurationException | IOException e) {
            faults.add(
                    new Finding(file, number, line, "the line cannot be read: " + e.getMessage(), "write KEY = VALUE"));
            return;
        }
        String key = line.substring(0, line.indexOf('=')).trim();
        String value = configuration.getKeys().hasNext()
                ? configuration.getString(configuration.getKeys().next(), "")
                : "";
        entries.add(new IniEntry(key, value.trim(), number));
    }
}
