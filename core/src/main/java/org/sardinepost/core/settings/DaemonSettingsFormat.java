package org.sardinepost.core.settings;

import java.util.List;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.ini.rules.CommonRules;
import org.sardinepost.core.settings.rules.AddressesDistinct;
import org.sardinepost.core.settings.rules.PeersUnique;
import org.sardinepost.core.settings.rules.RequestFitsHeldBytes;
import org.sardinepost.core.settings.rules.SourceLocation;

/** The sections and the rules of the settings of a daemon. */
public final class DaemonSettingsFormat {
    public static final FileFormat FORMAT = new FileFormat(List.of(
            DaemonKeys.SECTION,
            SourceKeys.CONFIGURATION,
            SourceKeys.VMS,
            PeersKeys.SECTION,
            LimitKeys.SECTION,
            WarmUpKeys.SECTION,
            LogKeys.SECTION));

    public static final List<Rule> RULES = CommonRules.with(
            FORMAT,
            List.of(
                    new AddressesDistinct(),
                    new SourceLocation(SourceKeys.CONFIGURATION, SourceKeys.CONFIGURATION_SOURCE),
                    new SourceLocation(SourceKeys.VMS, SourceKeys.VMS_SOURCE),
                    new PeersUnique(),
                    new RequestFitsHeldBytes()));

    private DaemonSettingsFormat() {}
}
