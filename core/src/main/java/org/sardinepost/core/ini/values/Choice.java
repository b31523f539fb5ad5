package org.sardinepost.core.ini.values;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * One of the words that the key allows, each standing for an enum constant.
 *
 * <p>An unknown word is an error, because any replacement would apply a choice that the operator did not make.
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
                .filter(constant -> toWord(constant).equals(text))
                .findFirst()
                .map(Parsed::success)
                .orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return constants.stream().map(Choice::toWord).collect(Collectors.joining(" or "));
    }

    private static String toWord(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
