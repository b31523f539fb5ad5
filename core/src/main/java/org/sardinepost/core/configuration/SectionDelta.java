package org.sardinepost.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinepost.core.text.SectionSplitter;
import org.sardinepost.core.text.TextSection;

/**
 * The difference between a base text and a new text, as edits to whole sections.
 *
 * <p>Keeps messages small when one entry of a long list changes. Receivers verify the digest of the result.
 */
public record SectionDelta(List<SectionEdit> edits) {
    public SectionDelta {
        edits = List.copyOf(edits);
    }

    /** Computes the edits that turn the base text into the new text. */
    public static SectionDelta between(String base, String newText) {
        Map<String, Integer> baseIndexes = new HashMap<>();
        List<TextSection> baseSections = SectionSplitter.split(base);
        for (int index = 0; index < baseSections.size(); index++) {
            baseIndexes.putIfAbsent(baseSections.get(index).content(), index);
        }
        EditCollector collector = new EditCollector();
        for (TextSection section : SectionSplitter.split(newText)) {
            Integer baseIndex = baseIndexes.get(section.content());
            if (baseIndex == null) {
                collector.insert(section.content());
            } else {
                collector.copy(baseIndex);
            }
        }
        return new SectionDelta(collector.finish());
    }

    /** Applies the edits; returns empty if they refer to sections that the base text does not have. */
    public Optional<String> apply(String base) {
        List<TextSection> sections = SectionSplitter.split(base);
        StringBuilder result = new StringBuilder(base.length());
        for (SectionEdit edit : edits) {
            if (edit.first() < 0 || edit.count() < 0 || edit.count() > sections.size() - edit.first()) {
                return Optional.empty();
            }
            sections.subList(edit.first(), edit.first() + edit.count())
                    .forEach(section -> result.append(section.content()));
            result.append(edit.inserted());
        }
        return Optional.of(result.toString());
    }

    /** Merges consecutive copies and insertions into as few edits as possible. */
    private static final class EditCollector {
        private final List<SectionEdit> edits = new ArrayList<>();
        private final StringBuilder inserted = new StringBuilder();
        private int first;
        private int count;

        void copy(int index) {
            if (inserted.isEmpty() && index == first + count) {
                count++;
                return;
            }
            flush();
            first = index;
            count = 1;
        }

        void insert(String content) {
            inserted.append(content);
        }

        List<SectionEdit> finish() {
            flush();
            return edits;
        }

        private void flush() {
            if (count > 0 || !inserted.isEmpty()) {
                edits.add(new SectionEdit(first, count, inserted.toString()));
            }
            first = 0;
            count = 0;
            inserted.setLength(0);
        }
    }
}
