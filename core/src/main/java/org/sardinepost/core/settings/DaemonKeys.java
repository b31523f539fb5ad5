package org.sardinepost.core.settings;

import java.time.Duration;
import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.ini.values.Choice;
import org.sardinepost.core.ini.values.DurationValue;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.ini.values.PositiveDecimal;
import org.sardinepost.core.routing.UpstreamId;

/** The keys of the {@code [daemon]} section, which describes the daemon itself. */
public final class DaemonKeys {
    public static final Key<UpstreamId> CALLER_ADDRESS = Key.required("caller-address", new Address());

    public static final Key<UpstreamId> ADMIN_ADDRESS = Key.required("admin-address", new Address());

    public static final Key<UpstreamId> PEER_ADDRESS = Key.required("peer-address", new Address());

    public static final Key<String> FAILURE_DOMAIN = Key.required("failure-domain", new Name());

    public static final Key<String> REGION = Key.required("region", new Name());

    public static final Key<Duration> DRAIN_WAIT = Key.optional("drain-wait", new DurationValue("0s", "10m"), "5s");

    public static final Key<PlacementMode> PLACEMENT = Key.optional("placement", Choice.of(PlacementMode.class), "own");

    public static final Key<Double> PROCESSOR_CAPACITY = Key.optional("processor-capacity", new PositiveDecimal(), "1");

    public static final SectionFormat SECTION = new SectionFormat(
            "daemon",
            false,
            true,
            List.of(
                    CALLER_ADDRESS,
                    ADMIN_ADDRESS,
                    PEER_ADDRESS,
                    FAILURE_DOMAIN,
                    REGION,
                    DRAIN_WAIT,
                    PLACEMENT,
                    PROCESSOR_CAPACITY));

    private DaemonKeys() {}
}
