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
 * A services text split into its sections, each identified by its digest.
 *
 * <p>Daemons exchange only the sections that the receiver lacks. Sections are identified only by digest, so duplicate
 * section names need no special handling.
 */
public final class TextParts {
    private final List<TextDigest> digests;
    private final Map<TextDigest, String> contentByDigest;

    private TextParts(List<TextDigest> digests, Map<TextDigest, String> contentByDigest) {
        this.digests = List.copyOf(digests);
        this.contentByDigest = Map.copyOf(contentByDigest);
    }

    /** Returns parts without any section. */
    public static TextParts empty() {
        return new TextParts(List.of(), Map.of());
    }

    /** Splits a text before each section header. */
    public static TextParts of(String text) {
        List<TextDigest> digests = new ArrayList<>();
        Map<TextDigest, String> contentByDigest = new HashMap<>();
        for (TextSection section : SectionSplitter.split(text)) {
            TextDigest digest = TextDigest.of(section.content());
            digests.add(digest);
            contentByDigest.put(digest, section.content());
        }
        return new TextParts(digests, contentByDigest);
    }

    /**
     * Assembles a text from held and received sections in the order of the digests.
     *
     * <p>Returns empty if any section is missing. The digest of each received section is computed from its content, so
     * an altered section is never used.
     */
    public static Optional<TextParts> assemble(List<TextDigest> wanted, TextParts held, Collection<String> received) {
        Map<TextDigest, String> available = new HashMap<>(held.contentByDigest);
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

    /** Returns the digests of the sections in the order of the text. */
    public List<TextDigest> digests() {
        return digests;
    }

    /** Returns the digest of the complete text. */
    public TextDigest textDigest() {
        return TextDigest.ofAll(digests);
    }

    /** Returns the digests in {@code wanted} whose sections are not in these parts. */
    public Set<TextDigest> missing(Collection<TextDigest> wanted) {
        Set<TextDigest> missing = new LinkedHashSet<>(wanted);
        missing.removeAll(contentByDigest.keySet());
        return missing;
    }

    public Optional<String> section(TextDigest digest) {
        return Optional.ofNullable(contentByDigest.get(digest));
    }

    /** Returns the complete text, identical to the one that was split. */
    public String text() {
        StringBuilder text = new StringBuilder();
        digests.forEach(digest -> text.append(Objects.requireNonNull(contentByDigest.get(digest))));
        return text.toString();
    }
}
