package org.sardinepost.core.text;

import java.time.Duration;
import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.DurationValue;
import org.sardinepost.core.ini.values.HostName;
import org.sardinepost.core.ini.values.ListOf;
import org.sardinepost.core.ini.values.PathPrefix;
import org.sardinepost.core.ini.values.TrueOrFalse;
import org.sardinepost.core.ini.values.WholeNumber;

/** The keys of the {@code [route NAME]} sections. */
public final class RouteKeys {
    public static final Key<String> HOST = Key.required("host", new HostName());

    public static final Key<String> PATH_PREFIX = Key.optional("path-prefix", new PathPrefix(), "/");

    public static final Key<List<RouteShare>> SERVICES = Key.required("services", new ListOf<>(new RouteShareValue()));

    public static final Key<Boolean> IDEMPOTENT = Key.optional("idempotent", new TrueOrFalse(), "false");

    public static final Key<Long> ATTEMPTS = Key.optional("attempts", new WholeNumber(1, 1_000), "3");

    public static final Key<Duration> TIME_LIMIT = Key.optional("time-limit", new DurationValue("1ms", "60m"), "2s");

    public static final Key<Duration> TARGET_LATENCY =
            Key.optional("target-latency", new DurationValue("1ms", "60m"), "1s");

    public static final Key<Long> PRIORITY = Key.optional("priority", new WholeNumber(0, 1_000_000), "0");

    public static final SectionFormat SECTION = new SectionFormat(
            "route",
            true,
            false,
            List.of(HOST, PATH_PREFIX, SERVICES, IDEMPOTENT, ATTEMPTS, TIME_LIMIT, TARGET_LATENCY, PRIORITY));

    private RouteKeys() {}
}
