package org.sardinepost.core.ini;

/** Quotes a part of a file for a message: on one line and of bounded length. */
public final class Excerpt {
    private static final int MAX_CHARACTERS = 60;

    private Excerpt() {}

    public static String of(String text) {
        String shown = text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
        return '"' + shown.replaceAll("\\p{C}", "?") + '"';
    }
}
