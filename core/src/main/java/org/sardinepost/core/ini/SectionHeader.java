package org.sardinepost.core.ini;

import java.util.Optional;

/**
 * A {@code [NAME]} line.
 *
 * @param name the text between the brackets, or the rest of the line if there is no closing bracket
 * @param closed whether there is a closing bracket
 * @param rest the text after the closing bracket, including comments
 */
public record SectionHeader(String name, boolean closed, String rest) {
    private static final Problem NOT_CLOSED = new Problem("the section header has no closing bracket", "write [NAME]");
    private static final Problem TEXT_AFTER_HEADER = new Problem(
            "there is text after the section header", "move it to its own line, or write it as a comment after \";\"");

    /** Parses the line; empty if it is not a section header. */
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

    /** Returns the syntax error in the header, if any. */
    public Optional<Problem> problem() {
        if (!closed) {
            return Optional.of(NOT_CLOSED);
        }
        if (!rest.isEmpty() && !IniParser.isComment(rest)) {
            return Optional.of(TEXT_AFTER_HEADER);
        }
        return Optional.empty();
    }
}
