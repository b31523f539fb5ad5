package org.sardinepost.core.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.SectionHeader;

/**
 * Splits a services text into the raw text of its sections and joins them again without changes.
 *
 * <p>Daemons exchange only the sections that changed. The joined text must equal the submitted text byte for byte,
 * because their digests are compared.
 */
public final class SectionSplitter {
    private SectionSplitter() {}

    /** Returns the sections in file order, including repeated names; an empty text has no sections. */
    public static List<TextSection> split(String text) {
        List<TextSection> sections = new ArrayList<>();
        String name = "";
        int sectionStart = 0;
        int lineStart = 0;
        while (lineStart < text.length()) {
            int lineEnd = findLineEnd(text, lineStart);
            Optional<SectionHeader> header = SectionHeader.parse(text.substring(lineStart, lineEnd));
            if (header.isPresent()) {
                add(sections, name, text.substring(sectionStart, lineStart));
                name = header.get().name();
                sectionStart = lineStart;
            }
            lineStart = lineEnd;
        }
        add(sections, name, text.substring(sectionStart));
        return List.copyOf(sections);
    }

    /** Restores the text that was passed to {@link #split}. */
    public static String join(List<TextSection> sections) {
        return sections.stream().map(TextSection::content).collect(Collectors.joining());
    }

    private static void add(List<TextSection> sections, String name, String content) {
        if (!content.isEmpty()) {
            sections.add(new TextSection(name, content));
        }
    }

    /** Returns the index after the line terminator; as in {@link String#lines}, a carriage return terminates a line. */
    private static int findLineEnd(String text, int start) {
        for (int index = start; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '\n' || character == '\r') {
                return index + 1;
            }
        }
        return text.length();
    }
}
