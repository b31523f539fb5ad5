package org.sardinepost.core.text;

import java.util.Objects;

/**
 * The raw text of one section.
 *
 * @param name the name in the header; empty for text before the first header
 * @param content the header line and all lines up to the next header, including line terminators
 */
public record TextSection(String name, String content) {
    public TextSection {
        Objects.requireNonNull(name);
        Objects.requireNonNull(content);
    }
}
