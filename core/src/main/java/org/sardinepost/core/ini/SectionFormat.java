package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/**
 * The sections with one kind of header and their keys.
 *
 * @param header the header, or its first word if a name follows it
 * @param named whether a name follows the header's first word
 * @param required whether a file without such a section is faulty
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

    /** The name after the header's first word; empty if there is none. */
    public String nameOf(IniSection section) {
        return section.name().substring(header.length()).trim();
    }

    public Optional<Key<?>> key(String name) {
        return keys.stream().filter(key -> key.name().equals(name)).findFirst();
    }

    /** The header as it is written. */
    public String form() {
        return named ? "[" + header + " NAME]" : "[" + header + "]";
    }
}
