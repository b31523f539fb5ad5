package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/** One section of an INI file with its entries in file order. */
public record IniSection(String name, int line, List<IniEntry> entries) {
    public IniSection {
        entries = List.copyOf(entries);
    }

    /** Returns the first entry with the given key. */
    public Optional<IniEntry> entry(String key) {
        for (IniEntry entry : entries) {
            if (entry.key().equals(key)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Returns the value of the first entry with the given key. */
    public Optional<String> value(String key) {
        return entry(key).map(IniEntry::value);
    }

    /** Returns the section as findings refer to it. */
    public String label() {
        return "[" + name + "]";
    }

    /** Returns a key of the section as findings refer to it. */
    public String label(String key) {
        return label() + " " + key;
    }
}
