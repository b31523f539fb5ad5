package org.sardinepost.core.ini;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the documentation pages in docs. */
public final class DocPages {
    private DocPages() {}

    public static List<String> lines(String name) {
        try {
            return Files.readAllLines(Path.of("..", "docs", name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the content of the fenced code block that starts with the given line. */
    public static String block(String page, String firstLine) {
        List<String> lines = lines(page);
        int start = lines.indexOf(firstLine);
        List<String> rest = lines.subList(start, lines.size());
        return String.join("\n", rest.subList(0, rest.indexOf("```"))) + "\n";
    }
}
