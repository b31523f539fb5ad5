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
    private static final Problem NOT_CLOSED = new Problem("the section header has no closing bracket", "write [NAME]");
    private static final Problem TEXT_AFTER_HEADER = new Problem(
            "there is text after the section header", "move it to its own line, or write it as a comment after \";\"");

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

    /** What is wrong with the header's form. */
    public Optional<Problem> problem() {
        if (!closed) {
            return Optional.of(NOT_CLOSED);
        }
        if (!rest.isEmpty() && !IniParser.comment(rest)) {
            return Optional.of(TEXT_AFTER_HEADER);
        }
        return Optional.empty();
    }
}
