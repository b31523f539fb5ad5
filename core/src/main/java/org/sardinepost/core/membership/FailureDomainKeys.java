package org.sardinepost.core.membership;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Choice;

/** The keys of the {@code [failure-domain NAME]} sections. */
public final class FailureDomainKeys {
    public static final Key<FailureDomainState> STATE = Key.required("state", Choice.of(FailureDomainState.class));

    public static final SectionFormat SECTION = new SectionFormat("failure-domain", true, false, List.of(STATE));

    private FailureDomainKeys() {}
}
