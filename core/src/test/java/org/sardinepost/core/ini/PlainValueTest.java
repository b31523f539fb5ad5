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

/** Guards against values that are read otherwise than by the library. */
final class PlainValueTest {
    @Provide
    Arbitrary<List<String>> values() {
        String plain = "abzAZ09 .,:/%@+-_[]";
        return Arbitraries.strings().withChars(plain).ofMaxLength(12).list().ofMaxSize(5);
    }

    /** Keys repeat, so that the rule of the first value is compared as well. */
    @Property(seed = "20261204")
    void plainValuesAreReadAsTheLibraryReadsThem(@ForAll("values") List<String> values) {
        List<IniEntry> entries = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            entries.add(new IniEntry("key-" + i % 3, values.get(i), i));
        }
        List<String> read = IniValues.read(entries, new ValueCache()).stream()
                .map(IniEntry::value)
                .toList();

        assertThat(values.stream().allMatch(PlainValue::is)).isTrue();
        assertThat(read)
                .isEqualTo(IniValues.readByLibrary(entries).stream()
                        .map(IniValue::text)
                        .toList());
    }

    @Test
    void quotesCommentsAndEscapesAreLeftToTheLibrary() {
        List<String> others = List.of("\"a\"", "'a'", "a ; b", "a # b", "a\\", "${env:HOME}", "a = b", "\u00e9");

        assertThat(others.stream().noneMatch(PlainValue::is)).isTrue();
    }
}
