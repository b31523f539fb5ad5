package org.sardinepost.core.membership.rules;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.membership.VmKeys;
import org.sardinepost.core.membership.VmRole;

/**
 * Checks that each upstream has a service and that no daemon has one.
 *
 * <p>An upstream without a service would receive no calls, and a daemon with a service could be mistaken for an
 * upstream.
 */
public final class ServiceMatchesRole implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(VmKeys.SECTION).stream()
                .flatMap(section -> findMismatch(document, section))
                .toList();
    }

    private static Stream<Finding> findMismatch(IniDocument document, IniSection section) {
        boolean hasService = section.entry(VmKeys.SERVICE.name()).isPresent();
        Optional<VmRole> role = VmKeys.ROLE.find(section);
        if (role.isEmpty() || (role.get() == VmRole.UPSTREAM) == hasService) {
            return Stream.empty();
        }
        return Stream.of(
                hasService
                        ? document.finding(
                                section,
                                VmKeys.SERVICE,
                                "a daemon must not have a service",
                                "remove it or correct the role")
                        : document.finding(
                                section, VmKeys.SERVICE, "the upstream has no service", "add service = NAME"));
    }
}
