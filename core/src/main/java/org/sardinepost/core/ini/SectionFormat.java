package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/**
 * The header and the keys of a kind of section.
 *
 * @param header the header, or its first word if a name follows
 * @param named whether a name follows the first word of the header
 * @param required whether a file without such a section is invalid
 */
public record SectionFormat(String header, boolean named, boolean required, List<Key<?>> keys) {
    public SectionFormat {
        keys = List.copyOf(keys);
    }

    public boolean matches(IniSection section) {
        String name = section.name();
        if (!name.startsWith(header)) {
            return false;
        }
        return name.length() == header.length() || (named && name.charAt(header.length()) == ' ');
    }

    /** Returns the name that follows the first word of the header; empty if there is none. */
    public String nameOf(IniSection section) {
        return section.name().substring(header.length()).trim();
    }

    public Optional<Key<?>> key(String name) {
        for (Key<?> key : keys) {
            if (key.name().equals(name)) {
                return Optional.of(key);
            }
        }
        return Optional.empty();
    }

    /** Returns the syntax of the header, with {@code NAME} as placeholder for the name. */
    public String headerSyntax() {
        return named ? "[" + header + " NAME]" : "[" + header + "]";
    }
}
