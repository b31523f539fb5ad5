package org.sardinepost.core.text;

import java.util.List;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.rules.CommonRules;
import org.sardinepost.core.text.rules.DependenciesAcyclic;
import org.sardinepost.core.text.rules.DependenciesExist;
import org.sardinepost.core.text.rules.HostsUnique;
import org.sardinepost.core.text.rules.RouteServicesExist;
import org.sardinepost.core.text.rules.RoutesUnique;
import org.sardinepost.core.text.rules.ServiceNames;
import org.sardinepost.core.text.rules.UpstreamsUnique;
import org.sardinepost.core.text.rules.WarmUpComplete;

/** The sections and the rules of a services text. */
public final class ServicesTextFormat {
    public static final FileFormat FORMAT =
            new FileFormat(List.of(TextKeys.SECTION, ServiceKeys.SECTION, RouteKeys.SECTION));

    public static final List<Rule> RULES = CommonRules.with(
            FORMAT,
            List.of(
                    new ServiceNames(),
                    new HostsUnique(),
                    new DependenciesExist(),
                    new DependenciesAcyclic(),
                    new UpstreamsUnique(),
                    new RouteServicesExist(),
                    new RoutesUnique(),
                    new WarmUpComplete()));

    private ServicesTextFormat() {}
}
