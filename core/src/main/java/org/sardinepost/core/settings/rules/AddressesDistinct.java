package org.sardinepost.core.settings.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonKeys;

/**
 * Reports a daemon whose caller, admin and peer addresses are not distinct.
 *
 * <p>The second server on the same address could not start.
 */
public final class AddressesDistinct implements Rule {
    private static final List<Key<UpstreamId>> KEYS =
            List.of(DaemonKeys.CALLER_ADDRESS, DaemonKeys.ADMIN_ADDRESS, DaemonKeys.PEER_ADDRESS);

    @Override
    public List<Finding> check(IniDocument document) {
        return document.sections(DaemonKeys.SECTION).stream()
                .flatMap(section -> duplicates(document, section).stream())
                .toList();
    }

    private static List<Finding> duplicates(IniDocument document, IniSection section) {
        Map<UpstreamId, Key<UpstreamId>> firstByAddress = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (Key<UpstreamId> key : KEYS) {
            key.find(section)
                    .map(address -> firstByAddress.putIfAbsent(address, key))
                    .ifPresent(earlier -> findings.add(document.finding(
                            section, key, "the address is already used by " + earlier.name(), "choose another port")));
        }
        return findings;
    }
}
