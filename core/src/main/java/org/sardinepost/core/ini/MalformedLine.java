package org.sardinepost.core.ini;

/** A line that is neither section header, entry, comment nor blank. */
public record MalformedLine(int line, String text, Problem problem) {}
