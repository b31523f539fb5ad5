package org.sardinepost.core.text;

import java.util.Optional;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.ini.values.WholeNumber;

/**
 * A service and its weight in a route.
 *
 * <p>The weight defaults to 1, so that a route to one service needs none.
 */
public record RouteShareValue() implements ValueType<RouteShare> {
    private static final int MAX_WEIGHT = 1_000_000;
    private static final Name SERVICE = new Name();
    private static final WholeNumber WEIGHT = new WholeNumber(0, MAX_WEIGHT);

    @Override
    public Parsed<RouteShare> parse(String text) {
        int colon = text.indexOf(':');
        Optional<String> service =
                SERVICE.parse(colon < 0 ? text : text.substring(0, colon)).value();
        Optional<Long> weight = colon < 0
                ? Optional.of(1L)
                : WEIGHT.parse(text.substring(colon + 1)).value();
        if (service.isEmpty() || weight.isEmpty()) {
            return reject(text);
        }
        return Parsed.success(new RouteShare(service.get(), Math.toIntExact(weight.get())));
    }

    @Override
    public String allowed() {
        return "SERVICE:WEIGHT, such as booking:90, or SERVICE alone";
    }
}
