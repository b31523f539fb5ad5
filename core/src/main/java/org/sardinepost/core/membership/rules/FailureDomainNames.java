package org.sardinepost.core.membership.rules;

import java.util.List;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.membership.FailureDomainKeys;

/**
 * Checks that the name of each failure domain section is one that a VM can have.
 *
 * <p>A misspelt name would match no VM, so that the domain would silently stay in service.
 */
public final class FailureDomainNames implements Rule {
    private static final Name NAME = new Name();

    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(FailureDomainKeys.SECTION).stream()
                .flatMap(section -> NAME.parse(FailureDomainKeys.SECTION.nameOf(section)).problems().stream()
                        .map(problem -> document.finding(section, problem.message(), problem.remedy())))
                .toList();
    }
}
