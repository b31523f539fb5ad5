package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/** A decimal number of at least 0, without an exponent. */
public record NonNegativeDecimal() implements ValueType<Double> {
    private static final Pattern SYNTAX = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,18})?");

    @Override
    public Parsed<Double> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(Double.parseDouble(text)) : reject(text);
    }

    @Override
    public String allowed() {
        return "a decimal number of at least 0, such as 1.5";
    }
}
