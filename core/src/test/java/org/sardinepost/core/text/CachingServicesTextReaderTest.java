package org.sardinepost.core.text;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.ini.ValidationResult;

/** Guards against cached values or line numbers of an earlier text in the result for a later text. */
class CachingServicesTextReaderTest {
    @Property(seed = "4717", tries = 1000)
    void readsTextsLikeAReaderWithoutACache(@ForAll("texts") List<String> texts) {
        CachingServicesTextReader reader = new CachingServicesTextReader();
        for (String text : texts) {
            ValidationResult<ServicesText> expected = ServicesTextReader.read("s.ini", text);
            ValidationResult<ServicesText> read = reader.read("s.ini", text);
            assertThat(read.findings()).isEqualTo(expected.findings());
            assertThat(slots(read)).isEqualTo(slots(expected));
        }
    }

    @Provide
    Arbitrary<List<String>> texts() {
        Arbitrary<String> lines = Arbitraries.of(
                "[service a]",
                "[service b]",
                "slots = 1",
                "slots = 2",
                "slots = x",
                "slots = 1 ; c",
                "hosts = h",
                "; c");
        return lines.list()
                .ofMaxSize(6)
                .map(list -> "[text]\nversion = 1\n" + String.join("\n", list))
                .list()
                .ofMinSize(2)
                .ofMaxSize(5);
    }

    /** Without reuse, an update of one service takes the time of reading all services. */
    @Test
    void reusesTheValuesOfUnchangedSections() {
        CachingServicesTextReader reader = new CachingServicesTextReader();
        String service = "[service a]\nhosts = one, two\n";
        ServicesText first =
                reader.read("s.ini", "[text]\nversion = 1\n" + service).value().orElseThrow();
        ServicesText second = reader.read("s.ini", "[text]\nversion = 2\n; moved\n" + service)
                .value()
                .orElseThrow();
        assertThat(second.version()).isEqualTo(2);
        assertThat(second.services().get(0).hosts())
                .isSameInstanceAs(first.services().get(0).hosts());
    }

    private static List<Integer> slots(ValidationResult<ServicesText> result) {
        return result.value().stream()
                .flatMap(text -> text.services().stream())
                .map(Service::slots)
                .toList();
    }
}
