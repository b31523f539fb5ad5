package org.sardinepost.core.settings;

import java.time.Duration;
import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.DurationValue;
import org.sardinepost.core.ini.values.Percentage;
import org.sardinepost.core.ini.values.SizeValue;
import org.sardinepost.core.ini.values.WholeNumber;

/** The keys of the {@code [limits]} section, which limits memory use. */
public final class LimitKeys {
    public static final Key<Long> HELD_BYTES = Key.optional("held-bytes", new SizeValue("1KiB", "65536MiB"), "64MiB");

    public static final Key<Long> REQUEST_LIMIT =
            Key.optional("request-limit", new SizeValue("1KiB", "1024MiB"), "4MiB");

    public static final Key<Long> HEADER_LIMIT = Key.optional("header-limit", new SizeValue("1KiB", "1MiB"), "16KiB");

    public static final Key<Long> TOKEN_ENTRIES =
            Key.optional("token-entries", new WholeNumber(1, 10_000_000), "20000");

    public static final Key<Long> CONNECTIONS = Key.optional("connections", new WholeNumber(16, 1_000_000), "2000");

    public static final Key<Double> CONNECTION_SHARE = Key.optional("connection-share", new Percentage(), "25%");

    public static final Key<Duration> STALL_TIME = Key.optional("stall-time", new DurationValue("1s", "10m"), "2s");

    public static final Key<Duration> REFUSAL_PAUSE =
            Key.optional("refusal-pause", new DurationValue("0s", "10s"), "2s");

    public static final Key<Double> DESCRIPTOR_RESERVE = Key.optional("descriptor-reserve", new Percentage(), "20%");

    public static final SectionFormat SECTION = new SectionFormat(
            "limits",
            false,
            false,
            List.of(
                    HELD_BYTES,
                    REQUEST_LIMIT,
                    HEADER_LIMIT,
                    TOKEN_ENTRIES,
                    CONNECTIONS,
                    CONNECTION_SHARE,
                    STALL_TIME,
                    REFUSAL_PAUSE,
                    DESCRIPTOR_RESERVE));

    private LimitKeys() {}
}
