package org.sardinepost.core.ini.values;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A word is one of those that the key allows.
 *
 * <p>An unknown word would have to be taken for one of them, which the operator did not choose.
 */
public record Choice<E extends Enum<E>>(List<E> constants) implements ValueType<E> {
    public Choice {
        constants = List.copyOf(constants);
    }

    public static <E extends Enum<E>> Choice<E> of(Class<E> type) {
        return new Choice<>(Arrays.asList(type.getEnumConstants()));
    }

    @Override
    public Parsed<E> parse(String text) {
        return constants.stream()
                .filter(constant -> word(constant).equals(text))
                .findFirst()
                .map(Parsed::good)
                .orElseGet(() -> refuse(text));
    }

    @Override
    public String allowed() {
        return constants.stream().map(Choice::word).collect(Collectors.joining(" or "));
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
