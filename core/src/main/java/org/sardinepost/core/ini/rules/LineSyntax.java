package org.sardinepost.core.ini.rules;

import java.util.List;
import org.sardinepost.core.ini.Excerpt;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.Rule;

/**
 * Every line is a section header, an entry, a comment or blank.
 *
 * <p>A line that were skipped silently would leave a default in force that the operator meant to change.
 */
public final class LineSyntax implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.malformedLines().stream()
                .map(line -> line.problem().at(document.file(), line.line(), Excerpt.of(line.text())))
                .toList();
    }
}
