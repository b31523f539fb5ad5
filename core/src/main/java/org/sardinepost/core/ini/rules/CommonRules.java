package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;

/** The rules that every format has. */
public final class CommonRules {
    private CommonRules() {}

    /** The common rules for the format, followed by the format's own. */
    public static List<Rule> with(FileFormat format, List<Rule> ownRules) {
        Stream<Rule> common = Stream.of(
                new LineSyntax(),
                new SectionNames(format),
                new SectionsPresent(format),
                new SectionsUnique(format),
                new KeyNames(format),
                new KeysUnique(),
                new KeysPresent(format),
                new KeyValues(format));
        return Stream.concat(common, ownRules.stream()).toList();
    }
}
