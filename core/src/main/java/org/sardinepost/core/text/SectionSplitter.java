package org.sardinepost.core.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.SectionHeader;

/**
 * Splits a services text into its sections' raw text and joins them back unchanged.
 *
 * <p>Daemons exchange only the sections that changed; the joined text must equal the submitted one byte for byte, because
 * its digest is compared.
 */
public final class SectionSplitter {
    private SectionSplitter() {}

    /** The sections in order, repeated names included; no section for an empty text. */
    public static List<TextSection> split(String text) {
        List<TextSection> sections = new ArrayList<>();
        String name = "";
        int sectionStart = 0;
        int lineStart = 0;
        while (lineStart < text.length()) {
            int lineEnd = lineEnd(text, lineStart);
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

    /** The text that {@link #split} was given. */
    public static String join(List<TextSection> sections) {
        return sections.stream().map(TextSection::content).collect(Collectors.joining());
    }

    private static void add(List<TextSection> sections, String name, String content) {
        if (!content.isEmpty()) {
            sections.add(new TextSection(name, content));
        }
    }

    /** The index after the line end; a carriage return ends a line as it does for {@link String#lines}. */
    private static int lineEnd(String text, int start) {
        for (int index = start; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '\n' || character == '\r') {
                return index + 1;
            }
        }
        return text.length();
    }
}
