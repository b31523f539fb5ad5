package org.sardinepost.core.membership;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Choice;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.ini.values.TrueOrFalse;

/** The keys of the {@code [vm ADDRESS]} sections. */
public final class VmKeys {
    public static final Key<VmRole> ROLE = Key.required("role", Choice.of(VmRole.class));

    public static final Key<String> SERVICE = Key.optional("service", new Name());

    public static final Key<String> FAILURE_DOMAIN = Key.required("failure-domain", new Name());

    public static final Key<VmState> STATE = Key.required("state", Choice.of(VmState.class));

    public static final Key<String> INSTANCE = Key.optional("instance", new Name());

    public static final Key<Boolean> WARMING_UP = Key.optional("warming-up", new TrueOrFalse(), "false");

    public static final SectionFormat SECTION =
            new SectionFormat("vm", true, false, List.of(ROLE, SERVICE, FAILURE_DOMAIN, STATE, INSTANCE, WARMING_UP));

    private VmKeys() {}
}
