package org.sardinepost.core.ini;

/** One {@code key = value} line. */
public record IniEntry(String key, String value, int line) {}
