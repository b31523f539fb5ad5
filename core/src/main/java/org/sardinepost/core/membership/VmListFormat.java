package org.sardinepost.core.membership;

import java.util.List;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.rules.CommonRules;
import org.sardinepost.core.membership.rules.FailureDomainNames;
import org.sardinepost.core.membership.rules.ServiceMatchesRole;
import org.sardinepost.core.membership.rules.VmAddresses;

/** The sections and the rules of a VM list. */
public final class VmListFormat {
    public static final FileFormat FORMAT = new FileFormat(List.of(VmKeys.SECTION, FailureDomainKeys.SECTION));

    public static final List<Rule> RULES =
            CommonRules.with(FORMAT, List.of(new VmAddresses(), new ServiceMatchesRole(), new FailureDomainNames()));

    private VmListFormat() {}
}
