package org.sardinepost.core.ini.rules;

import java.util.List;
import java.util.stream.Stream;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.SectionRule;

/**
 * Reports required keys that are not set.
 *
 * <p>Required keys have no default, because no value is suitable for every deployment.
 */
public final class KeysPresent implements SectionRule {
    private final FileFormat format;

    public KeysPresent(FileFormat format) {
        this.format = format;
    }

    @Override
    public List<Finding> check(IniDocument document, IniSection section) {
        return format.formatOf(section).stream()
                .flatMap(sectionFormat -> missingKeys(document, section, sectionFormat))
                .toList();
    }

    private static Stream<Finding> missingKeys(IniDocument document, IniSection section, SectionFormat format) {
        return format.keys().stream()
                .filter(Key::required)
                .filter(key -> section.entry(key.name()).isEmpty())
                .map(key -> document.finding(section, key, "the key is missing", remedy(key)));
    }

    private static String remedy(Key<?> key) {
        return "add " + key.name() + " = " + key.type().allowed();
    }
}
