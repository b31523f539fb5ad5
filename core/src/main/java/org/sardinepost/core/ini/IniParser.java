package org.sardinepost.core.ini;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses INI text into sections and entries with line numbers.
 *
 * <p>Commons Configuration keeps no line numbers and merges repeated sections and keys. This class therefore classifies
 * the lines itself and uses the library only to read the values of one section at a time.
 */
public final class IniParser {
    private static final Problem NOT_AN_ENTRY = new Problem("the line is not a KEY = VALUE entry", "write KEY = VALUE");
    /** Commons Configuration joins a line with the next one if a backslash ends it or precedes a comment. */
    private static final Problem BACKSLASH =
            new Problem("the line contains a backslash", "write the whole value on one line without backslashes");

    private static final Problem QUOTED_VALUE = new Problem("the value is quoted", "write it without quotation marks");

    private final List<IniSection> sections = new ArrayList<>();
    private final List<IniSection> changedSections = new ArrayList<>();
    private final List<MalformedLine> malformedLines = new ArrayList<>();
    private String sectionName = "";
    private int headerLine;
    private List<IniEntry> rawEntries = new ArrayList<>();

    private final ValueCache cache;

    private IniParser(ValueCache cache) {
        this.cache = cache;
    }

    public static IniDocument parse(String file, String text) {
        return parse(file, text, new ValueCache());
    }

    /** Reuses the cached values of sections that are unchanged since the previous text. */
    public static IniDocument parse(String file, String text, ValueCache cache) {
        cache.startDocument();
        IniParser parser = new IniParser(cache);
        int lineNumber = 0;
        for (String line : text.lines().toList()) {
            lineNumber++;
            parser.parseLine(line.trim(), lineNumber);
        }
        parser.finishSection();
        return new IniDocument(file, parser.sections, parser.malformedLines, parser.changedSections);
    }

    /** Returns whether the text, which must be trimmed, is a comment. */
    static boolean isComment(String text) {
        return text.startsWith(";") || text.startsWith("#");
    }

    private void parseLine(String line, int lineNumber) {
        if (line.isEmpty() || isComment(line)) {
            return;
        }
        Optional<SectionHeader> header = SectionHeader.parse(line);
        if (header.isPresent()) {
            startSection(header.get(), line, lineNumber);
            return;
        }
        Optional<Problem> problem = findEntryProblem(line);
        problem.ifPresent(error -> malformedLines.add(new MalformedLine(lineNumber, line, error)));
        if (problem.isEmpty()) {
            int equals = line.indexOf('=');
            String key = line.substring(0, equals).trim();
            rawEntries.add(new IniEntry(key, line.substring(equals + 1).trim(), lineNumber));
        }
    }

    private void startSection(SectionHeader header, String line, int lineNumber) {
        finishSection();
        sectionName = header.name();
        headerLine = lineNumber;
        rawEntries = new ArrayList<>();
        header.problem().ifPresent(problem -> malformedLines.add(new MalformedLine(lineNumber, line, problem)));
    }

    private void finishSection() {
        boolean beforeFirstHeader = headerLine == 0;
        if (beforeFirstHeader && rawEntries.isEmpty()) {
            return;
        }
        SectionValueReader.ReadSection read = SectionValueReader.read(sectionName, rawEntries, cache);
        IniSection section = new IniSection(sectionName, Math.max(1, headerLine), read.entries());
        sections.add(section);
        if (!read.wasValid()) {
            changedSections.add(section);
        }
    }

    private static Optional<Problem> findEntryProblem(String line) {
        int equals = line.indexOf('=');
        if (equals <= 0) {
            return Optional.of(NOT_AN_ENTRY);
        }
        String value = line.substring(equals + 1).trim();
        if (value.contains("\\")) {
            return Optional.of(BACKSLASH);
        }
        return value.startsWith("\"") || value.startsWith("'") ? Optional.of(QUOTED_VALUE) : Optional.empty();
    }
}
