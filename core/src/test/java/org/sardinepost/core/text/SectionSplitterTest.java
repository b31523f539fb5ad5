package org.sardinepost.core.text;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.ini.IniParser;
import org.sardinepost.core.ini.IniSection;

/** Guards against a transferred text that differs from the submitted text, and against sections with a wrong name. */
class SectionSplitterTest {
    @Property(seed = "4711", tries = 2000)
    void joinRestoresTheText(@ForAll("texts") String text) {
        assertThat(SectionSplitter.join(SectionSplitter.split(text))).isEqualTo(text);
    }

    /** The splitter and the parser must find the same sections, or a changed section would not be transferred. */
    @Property(seed = "4712", tries = 2000)
    void namesEqualThoseOfTheParser(@ForAll("texts") String text) {
        List<String> parsed = IniParser.parse("t.ini", text).sections().stream()
                .map(IniSection::name)
                .filter(name -> !name.isEmpty())
                .toList();
        List<String> split = SectionSplitter.split(text).stream()
                .map(TextSection::name)
                .filter(name -> !name.isEmpty())
                .toList();
        assertThat(split).isEqualTo(parsed);
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> lines =
                Arbitraries.of("[text]", " [service a] ; note", "[", "[b", "[]", "k = [v]", "; [c]", "", "é\u2028[d]");
        Arbitrary<String> fragments =
                Arbitraries.oneOf(lines, Arbitraries.of("\n", "\r\n", "\r"), Arbitraries.strings());
        return fragments.list().ofMaxSize(12).map(list -> String.join("", list));
    }

    @Nested
    class Splits {
        @Test
        void atHeadersOnly() {
            assertThat(SectionSplitter.split("# top\n[text]\nversion = 1\n[service a]\r\nhosts = [x]\n"))
                    .containsExactly(
                            new TextSection("", "# top\n"),
                            new TextSection("text", "[text]\nversion = 1\n"),
                            new TextSection("service a", "[service a]\r\nhosts = [x]\n"))
                    .inOrder();
        }

        @Test
        void keepsRepeatedNames() {
            assertThat(SectionSplitter.split("[a]\n[a]\n"))
                    .containsExactly(new TextSection("a", "[a]\n"), new TextSection("a", "[a]\n"));
        }

        @Test
        void emptyTextIntoNoSections() {
            assertThat(SectionSplitter.split("")).isEmpty();
        }
    }
}
