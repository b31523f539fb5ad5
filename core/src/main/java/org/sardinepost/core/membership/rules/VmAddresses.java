package org.sardinepost.core.membership.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.membership.VmKeys;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Checks that each VM has a valid and unique address.
 *
 * <p>An address can be written in two ways, so two sections with different names may describe the same VM.
 */
public final class VmAddresses implements Rule {
    private static final Address ADDRESS = new Address();

    @Override
    public List<Finding> check(IniDocument document) {
        Map<UpstreamId, IniSection> sectionByAddress = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (IniSection section : document.sections(VmKeys.SECTION)) {
            Parsed<UpstreamId> address = ADDRESS.parse(VmKeys.SECTION.nameOf(section));
            address.problems().stream()
                    .map(problem -> document.finding(section, problem.message(), problem.remedy()))
                    .forEach(findings::add);
            address.value()
                    .flatMap(id -> Optional.ofNullable(sectionByAddress.putIfAbsent(id, section)))
                    .filter(earlier -> !earlier.name().equals(section.name()))
                    .ifPresent(earlier -> findings.add(document.finding(
                            section,
                            "the address is already used by " + earlier.label(),
                            "remove one of the sections")));
        }
        return findings;
    }
}
