package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A percentage with a percent sign, at most 100%.
 *
 * <p>The sign is required, because 0.1 could mean a tenth or a thousandth.
 */
public record Percentage() implements ValueType<Double> {
    private static final Pattern SYNTAX = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,2})?%");

    @Override
    public Parsed<Double> parse(String text) {
        if (!SYNTAX.matcher(text).matches()) {
            return reject(text);
        }
        double fraction = Double.parseDouble(text.substring(0, text.length() - 1)) / 100;
        return fraction <= 1 ? Parsed.success(fraction) : reject(text);
    }

    @Override
    public String allowed() {
        return "a percentage from 0% to 100%";
    }
}
