package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A percentage has its sign and is at most 100%.
 *
 * <p>Without the sign, 0.1 could mean a tenth or a thousandth.
 */
public record Percentage() implements ValueType<Double> {
    private static final Pattern FORM = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,2})?%");

    @Override
    public Parsed<Double> parse(String text) {
        if (!FORM.matcher(text).matches()) {
            return refuse(text);
        }
        double share = Double.parseDouble(text.substring(0, text.length() - 1)) / 100;
        return share <= 1 ? Parsed.good(share) : refuse(text);
    }

    @Override
    public String allowed() {
        return "a percentage from 0% to 100%";
    }
}
