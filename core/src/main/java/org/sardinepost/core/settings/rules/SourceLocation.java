package org.sardinepost.core.settings.rules;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.settings.SourceKeys;

/**
 * Reports a source without its location.
 *
 * <p>The source {@code file} requires a file and the source {@code service} requires a URL. Both keys may be set, so
 * that operators can switch the source by changing one line.
 */
public final class SourceLocation implements Rule {
    private final SectionFormat format;
    private final Key<Source.Kind> kind;

    public SourceLocation(SectionFormat format, Key<Source.Kind> kind) {
        this.format = format;
        this.kind = kind;
    }

    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(format).stream()
                .flatMap(section -> missingLocation(document, section))
                .toList();
    }

    private Stream<Finding> missingLocation(IniDocument document, IniSection section) {
        return kind
                .find(section)
                .flatMap(SourceLocation::locationKey)
                .filter(location -> section.entry(location.name()).isEmpty())
                .map(location -> document.finding(
                        section,
                        location,
                        "the key is missing for this source",
                        "add " + location.name() + " = " + location.type().allowed()))
                .stream();
    }

    private static Optional<Key<String>> locationKey(Source.Kind kind) {
        return switch (kind) {
            case NONE -> Optional.empty();
            case FILE -> Optional.of(SourceKeys.FILE);
            case SERVICE -> Optional.of(SourceKeys.URL);
        };
    }
}
