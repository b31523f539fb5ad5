package org.sardinepost.core.ini.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniEntry;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.SectionRule;

/**
 * Reports keys that occur twice in a section.
 *
 * <p>The effective value would depend on the order of the lines.
 */
public final class KeysUnique implements SectionRule {
    @Override
    public List<Finding> check(IniDocument document, IniSection section) {
        Map<String, IniEntry> firstByKey = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            IniEntry earlier = firstByKey.putIfAbsent(entry.key(), entry);
            if (earlier != null) {
                findings.add(document.finding(
                        section, entry, "the key is already set on line " + earlier.line(), "remove one of the lines"));
            }
        }
        return findings;
    }
}
