package org.sardinepost.core.ini;

/** A line that is not a well-formed section header, entry, comment or blank line. */
public record MalformedLine(int line, String text, Problem problem) {}
