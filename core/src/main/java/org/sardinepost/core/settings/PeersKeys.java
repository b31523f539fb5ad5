package org.sardinepost.core.settings;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.ini.values.ListOf;
import org.sardinepost.core.routing.UpstreamId;

/** The keys of the {@code [peers]} section, which lists the other daemons. */
public final class PeersKeys {
    public static final Key<List<UpstreamId>> ADDRESSES = Key.optional("addresses", new ListOf<>(new Address()), "");

    public static final SectionFormat SECTION = new SectionFormat("peers", false, false, List.of(ADDRESSES));

    private PeersKeys() {}
}
