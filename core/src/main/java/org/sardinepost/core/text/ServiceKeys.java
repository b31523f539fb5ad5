package org.sardinepost.core.text;

import java.time.Duration;
import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Choice;
import org.sardinepost.core.ini.values.DurationValue;
import org.sardinepost.core.ini.values.HostName;
import org.sardinepost.core.ini.values.ListOf;
import org.sardinepost.core.ini.values.Method;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.ini.values.PathPattern;
import org.sardinepost.core.ini.values.Percentage;
import org.sardinepost.core.ini.values.PositiveDecimal;
import org.sardinepost.core.ini.values.SizeValue;
import org.sardinepost.core.ini.values.TrueOrFalse;
import org.sardinepost.core.ini.values.UrlPath;
import org.sardinepost.core.ini.values.WholeNumber;
import org.sardinepost.core.routing.Upstream;

/** The keys of the {@code [service NAME]} sections. */
public final class ServiceKeys {
    public static final Key<Boolean> EXTERNAL = Key.optional("external", new TrueOrFalse(), "false");

    public static final Key<Boolean> DIRECT_CALLS = Key.optional("direct-calls", new TrueOrFalse(), "true");

    public static final Key<List<String>> HOSTS = Key.optional("hosts", new ListOf<>(new HostName()), "");

    public static final Key<List<String>> DEPENDS_ON = Key.optional("depends-on", new ListOf<>(new Name()), "");

    public static final Key<List<Upstream>> UPSTREAMS =
            Key.optional("upstreams", new ListOf<>(new UpstreamValue()), "");

    public static final Key<Long> SLOTS = Key.optional("slots", new WholeNumber(1, 10_000), "3");

    public static final Key<List<String>> IDEMPOTENT_METHODS =
            Key.optional("idempotent-methods", new ListOf<>(new Method()), "GET, HEAD, OPTIONS");

    public static final Key<List<String>> IDEMPOTENT_PATHS =
            Key.optional("idempotent-paths", new ListOf<>(new PathPattern()), "");

    public static final Key<TokenMode> TOKENS = Key.optional("tokens", Choice.of(TokenMode.class), "required");

    public static final Key<Duration> DEADLINE = Key.optional("deadline", new DurationValue("1ms", "60m"), "2s");

    public static final Key<Double> RETRY_BUDGET = Key.optional("retry-budget", new Percentage(), "10%");

    public static final Key<Long> MEASURING_BUDGET =
            Key.optional("measuring-budget", new WholeNumber(0, 1_000_000), "20");

    public static final Key<Preference> PREFER = Key.optional("prefer", Choice.of(Preference.class), "latency");

    public static final Key<Long> ANSWER_LIMIT = Key.optional("answer-limit", new SizeValue("1KiB", "1024MiB"), "4MiB");

    public static final Key<String> HEALTH_PATH = Key.optional("health-path", new UrlPath());

    public static final Key<Duration> WARM_UP = Key.optional("warm-up", new DurationValue("1ms", "60m"));

    public static final Key<Double> WARM_UP_RATE = Key.optional("warm-up-rate", new PositiveDecimal());

    public static final SectionFormat SECTION = new SectionFormat(
            "service",
            true,
            false,
            List.of(
                    EXTERNAL,
                    DIRECT_CALLS,
                    HOSTS,
                    DEPENDS_ON,
                    UPSTREAMS,
                    SLOTS,
                    IDEMPOTENT_METHODS,
                    IDEMPOTENT_PATHS,
                    TOKENS,
                    DEADLINE,
                    RETRY_BUDGET,
                    MEASURING_BUDGET,
                    PREFER,
                    ANSWER_LIMIT,
                    HEALTH_PATH,
                    WARM_UP,
                    WARM_UP_RATE));

    private ServiceKeys() {}
}
