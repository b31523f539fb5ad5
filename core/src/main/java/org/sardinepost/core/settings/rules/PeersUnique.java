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
 * No peer is listed twice.
 *
 * <p>The second entry usually stands for another daemon whose address was mistyped.
 */
public final class PeersUnique implements Rule {
    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(PeersKeys.SECTION).stream()
                .flatMap(section -> repeated(document, section))
                .toList();
    }

    private static Stream<Finding> repeated(IniDocument document, IniSection section) {
        Set<UpstreamId> seen = new HashSet<>();
        return PeersKeys.ADDRESSES.find(section).orElse(List.of()).stream()
                .filter(address -> !seen.add(address))
                .map(address -> document.finding(
                        section, PeersKeys.ADDRESSES, "peer " + address + " is listed twice", "correct or remove it"));
    }
}
