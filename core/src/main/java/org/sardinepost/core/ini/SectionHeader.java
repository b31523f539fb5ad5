package org.sardinepost.core.ini;

import java.util.Optional;

/**
 * One {@code [NAME]} line.
 *
 * @param name the text between the brackets; without a closing bracket, the rest of the line
 * @param closed whether the closing bracket is there
 * @param rest what follows the closing bracket, comments included
 */
public record SectionHeader(String name, boolean closed, String rest) {
    /** The header in the line; empty if the line is no section header. */
    public static Optional<SectionHeader> parse(String line) {
        String trimmed = line.trim();
        if (!trimmed.startsWith("[")) {
            return Optional.empty();
        }
        int end = trimmed.indexOf(']');
        if (end < 0) {
            return Optional.of(new SectionHeader(trimmed.substring(1).trim(), false, ""));
        }
        String name = trimmed.substring(1, end).trim();
        return Optional.of(
                new SectionHeader(name, true, trimmed.substring(end + 1).trim()));
    }
}
