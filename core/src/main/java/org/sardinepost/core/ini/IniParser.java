package org.sardinepost.core.ini;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits INI text into sections and entries that know their lines.
 *
 * <p>The library keeps no line numbers and merges repeated sections and keys. Therefore the lines are told apart here, and
 * the library reads the values of one section at a time.
 */
public final class IniParser {
    private static final Problem NO_ENTRY = new Problem("the line is no entry", "write KEY = VALUE");
    /** The library joins a line with the next one if a backslash stands at its end or before a comment. */
    private static final Problem BACKSLASH =
            new Problem("the line contains a backslash", "write the whole value on one line without backslashes");

    private static final Problem QUOTED_VALUE = new Problem("the value is quoted", "write it without quotation marks");

    private final List<IniSection> sections = new ArrayList<>();
    private final List<MalformedLine> malformedLines = new ArrayList<>();
    private String name = "";
    private int headerLine;
    private List<IniEntry> rawEntries = new ArrayList<>();

    private final ValueCache cache;

    private IniParser(ValueCache cache) {
        this.cache = cache;
    }

    public static IniDocument parse(String file, String text) {
        return parse(file, text, new ValueCache());
    }

    /** Takes the values of sections that did not change from the cache. */
    public static IniDocument parse(String file, String text, ValueCache cache) {
        cache.startText();
        IniParser parser = new IniParser(cache);
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            parser.addLine(line.trim(), number);
        }
        parser.closeSection();
        return new IniDocument(file, parser.sections, parser.malformedLines);
    }

    /** Whether the trimmed text is a comment. */
    static boolean comment(String text) {
        return text.startsWith(";") || text.startsWith("#");
    }

    private void addLine(String line, int number) {
        if (line.isEmpty() || comment(line)) {
            return;
        }
        Optional<SectionHeader> header = SectionHeader.parse(line);
        if (header.isPresent()) {
            openSection(header.get(), line, number);
            return;
        }
        Optional<Problem> problem = entryProblem(line);
        problem.ifPresent(found -> malformedLines.add(new MalformedLine(number, line, found)));
        if (problem.isEmpty()) {
            int equals = line.indexOf('=');
            String key = line.substring(0, equals).trim();
            rawEntries.add(new IniEntry(key, line.substring(equals + 1).trim(), number));
        }
    }

    private void openSection(SectionHeader header, String line, int number) {
        closeSection();
        name = header.name();
        headerLine = number;
        rawEntries = new ArrayList<>();
        header.problem().ifPresent(problem -> malformedLines.add(new MalformedLine(number, line, problem)));
    }

    private void closeSection() {
        boolean beforeFirstHeader = headerLine == 0;
        if (beforeFirstHeader && rawEntries.isEmpty()) {
            return;
        }
        sections.add(new IniSection(name, Math.max(1, headerLine), IniValues.read(rawEntries, cache)));
    }

    private static Optional<Problem> entryProblem(String line) {
        int equals = line.indexOf('=');
        if (equals <= 0) {
            return Optional.of(NO_ENTRY);
        }
        String value = line.substring(equals + 1).trim();
        if (value.contains("\\")) {
            return Optional.of(BACKSLASH);
        }
        return value.startsWith("\"") || value.startsWith("'") ? Optional.of(QUOTED_VALUE) : Optional.empty();
    }
}
