package org.sardinepost.core.settings;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.NonNegativeDecimal;
import org.sardinepost.core.ini.values.PositiveDecimal;

/** The keys of the {@code [warm-up]} section: how far calls to cold upstreams may exceed their warm-up rate. */
public final class WarmUpKeys {
    public static final Key<Double> OVERSHOOT = Key.optional("overshoot", new PositiveDecimal(), "1");

    public static final Key<Double> SLACK = Key.optional("slack", new NonNegativeDecimal(), "0");

    public static final SectionFormat SECTION = new SectionFormat("warm-up", false, false, List.of(OVERSHOOT, SLACK));

    private WarmUpKeys() {}
}
