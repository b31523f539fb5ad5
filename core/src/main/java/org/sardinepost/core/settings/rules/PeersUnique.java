package org.sardinepost.core.settings.rules;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.PeersKeys;

/**
 * Reports peers that are listed twice.
 *
 * <p>The second entry is usually a mistyped address of another daemon.
 */
public final class PeersUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(PeersKeys.SECTION).stream()
                .flatMap(section -> duplicates(document, section))
                .toList();
    }

    private static Stream<Finding> duplicates(IniDocument document, IniSection section) {
        Set<UpstreamId> seen = new HashSet<>();
        return PeersKeys.ADDRESSES.find(section).orElse(List.of()).stream()
                .filter(address -> !seen.add(address))
                .map(address -> document.finding(
                        section, PeersKeys.ADDRESSES, "peer " + address + " is listed twice", "correct or remove it"));
    }
}
