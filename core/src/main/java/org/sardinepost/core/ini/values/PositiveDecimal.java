package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/** A decimal number above 0, without an exponent. */
public record PositiveDecimal() implements ValueType<Double> {
    private static final Pattern SYNTAX = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,18})?");

    @Override
    public Parsed<Double> parse(String text) {
        if (!SYNTAX.matcher(text).matches()) {
            return reject(text);
        }
        double number = Double.parseDouble(text);
        return number > 0 ? Parsed.success(number) : reject(text);
    }

    @Override
    public String allowed() {
        return "a decimal number above 0, such as 0.5";
    }
}
