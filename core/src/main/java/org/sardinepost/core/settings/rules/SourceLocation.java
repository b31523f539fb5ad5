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
 * A source has its location.
 *
 * <p>Source file needs a file and source service needs a URL. The other key may stand there too, so that the source can
 * be switched in one line.
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
                .flatMap(section -> missing(document, section))
                .toList();
    }

    private Stream<Finding> missing(IniDocument document, IniSection section) {
        return kind
                .find(section)
                .flatMap(SourceLocation::location)
                .filter(location -> section.entry(location.name()).isEmpty())
                .map(location -> document.finding(
                        section,
                        location,
                        "the key is missing for this source",
                        "add " + location.name() + " = " + location.type().allowed()))
                .stream();
    }

    private static Optional<Key<String>> location(Source.Kind kind) {
        return switch (kind) {
            case NONE -> Optional.empty();
            case FILE -> Optional.of(SourceKeys.FILE);
            case SERVICE -> Optional.of(SourceKeys.URL);
        };
    }
}
