package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;

/** The rules that apply to every format. */
public final class CommonRules {
    private CommonRules() {}

    /** Returns the common rules for the format, followed by the rules of the format itself. */
    public static List<Rule> with(FileFormat format, List<Rule> formatRules) {
        Stream<Rule> commonRules = Stream.of(
                new LineSyntax(),
                new SectionNames(format),
                new SectionsPresent(format),
                new SectionsUnique(format),
                new KeyNames(format),
                new KeysUnique(),
                new KeysPresent(format),
                new KeyValues(format));
        return Stream.concat(commonRules, formatRules.stream()).toList();
    }
}
