package org.sardinepost.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.text.SectionSplitter;
import org.sardinepost.core.text.TextSection;

/**
 * A services text cut into its sections, each known by its digest.
 *
 * <p>Daemons exchange only the sections that the other one lacks. Sections are identified by digest alone, so repeated
 * section names need no special treatment.
 */
public final class TextParts {
    private final List<TextDigest> digests;
    private final Map<TextDigest, String> contents;

    private TextParts(List<TextDigest> digests, Map<TextDigest, String> contents) {
        this.digests = List.copyOf(digests);
        this.contents = Map.copyOf(contents);
    }

    /** Parts of no text at all. */
    public static TextParts empty() {
        return new TextParts(List.of(), Map.of());
    }

    /** Cuts a text before each section header. */
    public static TextParts of(String text) {
        List<TextDigest> digests = new ArrayList<>();
        Map<TextDigest, String> contents = new HashMap<>();
        for (TextSection section : SectionSplitter.split(text)) {
            TextDigest digest = TextDigest.of(section.content());
            digests.add(digest);
            contents.put(digest, section.content());
        }
        return new TextParts(digests, contents);
    }

    /**
     * Builds the text that the digests describe from held and received sections.
     *
     * <p>Empty if any section is missing. A received section counts only under the digest computed from its content, so a
     * wrong section never enters the text.
     */
    public static Optional<TextParts> assemble(List<TextDigest> wanted, TextParts held, Collection<String> received) {
        Map<TextDigest, String> available = new HashMap<>(held.contents);
        received.forEach(section -> available.put(TextDigest.of(section), section));
        Map<TextDigest, String> used = new LinkedHashMap<>();
        for (TextDigest digest : wanted) {
            String content = available.get(digest);
            if (content == null) {
                return Optional.empty();
            }
            used.put(digest, content);
        }
        return Optional.of(new TextParts(wanted, used));
    }

    /** The digests of the sections in the order of the text. */
    public List<TextDigest> digests() {
        return digests;
    }

    /** The digest that stands for the whole text. */
    public TextDigest textDigest() {
        return TextDigest.ofAll(digests);
    }

    /** The digests among {@code wanted} that these parts lack. */
    public Set<TextDigest> missing(Collection<TextDigest> wanted) {
        Set<TextDigest> missing = new LinkedHashSet<>(wanted);
        missing.removeAll(contents.keySet());
        return missing;
    }

    public Optional<String> section(TextDigest digest) {
        return Optional.ofNullable(contents.get(digest));
    }

    /** The whole text, equal to the one that was cut. */
    public String text() {
        StringBuilder text = new StringBuilder();
        digests.forEach(digest -> text.append(Objects.requireNonNull(contents.get(digest))));
        return text.toString();
    }
}
