package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against plain values that are read differently than by Commons Configuration. */
final class PlainValueTest {
    @Provide
    Arbitrary<List<String>> values() {
        String plainCharacters = "abzAZ09 .,:/%@+-_[]";
        return Arbitraries.strings()
                .withChars(plainCharacters)
                .ofMaxLength(12)
                .list()
                .ofMaxSize(5);
    }

    /** Repeats keys, so that the test also compares which value of a repeated key is returned. */
    @Property(seed = "20261204")
    void readsPlainValuesLikeTheLibrary(@ForAll("values") List<String> values) {
        List<IniEntry> entries = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            entries.add(new IniEntry("key-" + i % 3, values.get(i), i));
        }
        List<String> read = SectionValueReader.read("section", entries, new ValueCache()).entries().stream()
                .map(IniEntry::value)
                .toList();

        assertThat(values.stream().allMatch(PlainValue::matches)).isTrue();
        assertThat(read)
                .isEqualTo(SectionValueReader.readWithLibrary(entries).stream()
                        .map(IniValue::text)
                        .toList());
    }

    @Test
    void doesNotMatchQuotesCommentsAndEscapes() {
        List<String> nonPlainValues =
                List.of("\"a\"", "'a'", "a ; b", "a # b", "a\\", "${env:HOME}", "a = b", "\u00e9");

        assertThat(nonPlainValues.stream().noneMatch(PlainValue::matches)).isTrue();
    }
}
