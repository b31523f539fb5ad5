package org.sardinepost.core.ini;

/** Quotes an excerpt of a file in a message, on one line and with bounded length. */
public final class Excerpt {
    private static final int MAX_CHARACTERS = 60;

    private Excerpt() {}

    public static String of(String text) {
        String truncated = text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
        return '"' + truncated.replaceAll("\\p{C}", "?") + '"';
    }
}
