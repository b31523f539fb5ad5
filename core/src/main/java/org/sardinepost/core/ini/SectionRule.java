package org.sardinepost.core.ini;

import java.util.List;

/**
 * A rule whose findings in a section depend on that section alone, so that a section that was valid before need not be
 * checked again.
 */
public interface SectionRule extends Rule {
    /** Returns every violation of the rule in a section of the document. */
    List<Finding> check(IniDocument document, IniSection section);

    @Override
    default List<Finding> check(IniDocument document) {
        return document.sections().stream()
                .flatMap(section -> check(document, section).stream())
                .toList();
    }
}
