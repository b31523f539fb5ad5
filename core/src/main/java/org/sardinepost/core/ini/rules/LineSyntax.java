package org.sardinepost.core.ini.rules;

import java.util.List;
import org.sardinepost.core.ini.Excerpt;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.Rule;

/**
 * Reports lines that are not a section header, an entry, a comment or blank.
 *
 * <p>If a malformed line were ignored, a default that the operator meant to change would silently remain in effect.
 */
public final class LineSyntax implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.malformedLines().stream()
                .map(line -> line.problem().at(document.file(), line.line(), Excerpt.of(line.text())))
                .toList();
    }
}
