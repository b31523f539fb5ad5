package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;

/**
 * No key occurs twice in a section.
 *
 * <p>It would depend on the order which value is in force.
 */
public final class KeysUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections().stream()
                .flatMap(section -> repeated(document, section).stream())
                .toList();
    }

    private static List<Finding> repeated(IniDocument document, IniSection section) {
        Map<String, IniEntry> first = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            IniEntry earlier = first.putIfAbsent(entry.key(), entry);
            if (earlier != null) {
                findings.add(document.finding(
                        section, entry, "the key is set already on line " + earlier.line(), "remove one of the lines"));
            }
        }
        return findings;
    }
}
