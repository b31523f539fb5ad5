package org.sardinepost.ctl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.text.RouteKeys;
import org.sardinepost.core.text.ServiceKeys;
import org.sardinepost.core.text.TextKeys;

/**
 * The differences between two valid services texts.
 *
 * <p>Effective values are compared: 2s equals 2000ms, an absent key equals its default, and the order of a list is not
 * significant.
 */
final class TextDiff {
    private final Map<String, IniSection> oldSections;
    private final Map<String, IniSection> newSections;

    TextDiff(IniDocument oldDocument, IniDocument newDocument) {
        this.oldSections = sectionsByLabel(oldDocument);
        this.newSections = sectionsByLabel(newDocument);
    }

    /** Returns one line per change. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        oldSections.keySet().stream()
                .filter(label -> !newSections.containsKey(label))
                .forEach(label -> lines.add(label + " removed"));
        newSections.forEach((label, section) -> Optional.ofNullable(oldSections.get(label))
                .ifPresentOrElse(
                        oldSection -> lines.addAll(changes(label, oldSection, section)),
                        () -> lines.add(label + " added")));
        return lines;
    }

    private static Map<String, IniSection> sectionsByLabel(IniDocument document) {
        Map<String, IniSection> sections = new LinkedHashMap<>();
        document.sections(TextKeys.SECTION).forEach(section -> sections.put(section.label(), section));
        document.sections(ServiceKeys.SECTION)
                .forEach(section -> sections.put("[service " + ServiceKeys.SECTION.nameOf(section) + "]", section));
        document.sections(RouteKeys.SECTION)
                .forEach(section -> sections.put("[route " + RouteKeys.SECTION.nameOf(section) + "]", section));
        return sections;
    }

    private static SectionFormat formatOf(IniSection section) {
        return Stream.of(TextKeys.SECTION, ServiceKeys.SECTION, RouteKeys.SECTION)
                .filter(format -> format.matches(section))
                .findFirst()
                .orElseThrow();
    }

    private static List<String> changes(String label, IniSection oldSection, IniSection newSection) {
        SectionFormat format = formatOf(newSection);
        List<String> lines = new ArrayList<>();
        format.keys().stream()
                .filter(key -> !key.equals(ServiceKeys.UPSTREAMS))
                .filter(key -> !effectiveValue(key, oldSection).equals(effectiveValue(key, newSection)))
                .map(key -> label + " " + key.name() + ": " + formatValue(key, oldSection) + " -> "
                        + formatValue(key, newSection))
                .forEach(lines::add);
        if (format.equals(ServiceKeys.SECTION)) {
            upstreamsOnlyIn(oldSection, newSection)
                    .forEach(upstream -> lines.add(label + " upstream removed: " + formatUpstream(upstream)));
            upstreamsOnlyIn(newSection, oldSection)
                    .forEach(upstream -> lines.add(label + " upstream added: " + formatUpstream(upstream)));
        }
        return lines;
    }

    private static Object effectiveValue(Key<?> key, IniSection section) {
        Optional<?> value = key.find(section);
        return value.isPresent() && value.get() instanceof List<?> list ? new HashSet<>(list) : value;
    }

    private static String formatValue(Key<?> key, IniSection section) {
        String text = key.text(section).filter(value -> !value.isEmpty()).orElse("empty");
        return section.entry(key.name()).isPresent() ? text : text + " (default)";
    }

    /** Returns the upstreams of a section that the other section does not have. */
    private static List<Upstream> upstreamsOnlyIn(IniSection section, IniSection other) {
        Set<Upstream> otherUpstreams = new HashSet<>(ServiceKeys.UPSTREAMS.read(other));
        return ServiceKeys.UPSTREAMS.read(section).stream()
                .filter(upstream -> !otherUpstreams.contains(upstream))
                .toList();
    }

    private static String formatUpstream(Upstream upstream) {
        return upstream.failureDomain().isEmpty()
                ? upstream.id().toString()
                : upstream.id() + "@" + upstream.failureDomain();
    }
}
