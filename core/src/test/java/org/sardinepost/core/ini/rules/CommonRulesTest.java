package org.sardinepost.core.ini.rules;

import static com.google.common.truth.Truth.assertThat;
import static org.sardinepost.core.ini.RuleAssertions.assertFindings;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.ini.FileFormat;
import org.sardinepost.core.ini.Rule;
import org.sardinepost.core.text.ServicesTextFormat;

/** Guards against rules that miss errors in a file, and against rules that reject valid files. */
class CommonRulesTest {
    private static final FileFormat FORMAT = ServicesTextFormat.FORMAT;

    @Nested
    class TextPresentRule {
        @ParameterizedTest
        @ValueSource(strings = {"", " \n\t\n"})
        void reportsBlankText(String text) {
            assertThat(new TextPresent().check("f.ini", text)).isPresent();
        }

        @Test
        void acceptsAComment() {
            assertThat(new TextPresent().check("f.ini", "# c")).isEmpty();
        }
    }

    @Nested
    class TextSizeRule {
        @Test
        void measuresSizeInBytes() {
            assertThat(new TextSize().check("f.ini", "\u00e9".repeat(500_001))).isPresent();
            assertThat(new TextSize().check("f.ini", "e".repeat(1_000_001))).isPresent();
        }

        @Test
        void acceptsOneMegabyte() {
            assertThat(new TextSize().check("f.ini", "\u00e9".repeat(500_000))).isEmpty();
        }
    }

    @Nested
    class ByteOrderMarkRule {
        @Test
        void reportsAMarkAtTheStartOnly() {
            assertThat(new ByteOrderMark().check("f.ini", "\uFEFF[text]")).isPresent();
            assertThat(new ByteOrderMark().check("f.ini", "[text]\n; \uFEFF")).isEmpty();
        }
    }

    @Nested
    class LineSyntaxRule {
        @ParameterizedTest
        @ValueSource(strings = {"version", "= 3", "[text", "[text] x", "a = b \\ ; c", "a = b\\", "a = \"b\"", "a: b"})
        void reportsMalformedLine(String line) {
            assertFindings(new LineSyntax(), "[text]", line).containsExactly("2 \"" + line + "\"");
        }

        @ParameterizedTest
        @ValueSource(strings = {"a = b ; c", "a = b;c", "; a", "# a", "", " a=b", "a =", "[text] ; c", "a = [b]"})
        void acceptsWellFormedLine(String line) {
            assertFindings(new LineSyntax(), "[text]", line).isEmpty();
        }
    }

    @Nested
    class SectionNamesRule {
        private final Rule rule = new SectionNames(FORMAT);

        @Test
        void reportsUnknownAndMissingHeaders() {
            assertFindings(rule, "a = b", "[Text]", "[services x]", "[]", "[text x]")
                    .containsExactly("1 []", "2 [Text]", "3 [services x]", "4 []", "5 [text x]");
        }

        @Test
        void acceptsKnownSections() {
            assertFindings(rule, "; c", "[text]", "[ service x ]").isEmpty();
        }
    }

    @Nested
    class SectionsPresentRule {
        @Test
        void reportsMissingSection() {
            assertFindings(new SectionsPresent(FORMAT), "[service x]").containsExactly("1 [text]");
        }

        @Test
        void acceptsMissingOptionalSections() {
            assertFindings(new SectionsPresent(FORMAT), "[text]").isEmpty();
        }
    }

    @Nested
    class SectionsUniqueRule {
        @Test
        void reportsDuplicateSectionsAndNames() {
            assertFindings(new SectionsUnique(FORMAT), "[text]", "[service x]", "[text]", "[service   x]")
                    .containsExactly("3 [text]", "4 [service   x]");
        }

        @Test
        void acceptsDifferentNames() {
            assertFindings(new SectionsUnique(FORMAT), "[text]", "[service x]", "[service y]")
                    .isEmpty();
        }
    }

    @Nested
    class KeyNamesRule {
        @Test
        void reportsUnknownKeys() {
            assertFindings(new KeyNames(FORMAT), "[text]", "Version = 1", "slots = 2", "a.b = 1")
                    .containsExactly("2 [text] Version", "3 [text] slots", "4 [text] a.b");
        }

        @Test
        void acceptsKnownKeys() {
            assertFindings(new KeyNames(FORMAT), "[text]", "version = 1", "[service x]", "slots=2")
                    .isEmpty();
        }
    }

    @Nested
    class KeysUniqueRule {
        @Test
        void reportsTheDuplicate() {
            assertFindings(new KeysUnique(), "[text]", "version = 1", "version = 1")
                    .containsExactly("3 [text] version");
        }

        @Test
        void acceptsTheSameKeyInTwoSections() {
            assertFindings(new KeysUnique(), "[service x]", "slots = 1", "[service y]", "slots = 1")
                    .isEmpty();
        }
    }

    @Nested
    class KeysPresentRule {
        @Test
        void reportsMissingVersion() {
            assertFindings(new KeysPresent(FORMAT), "", "[text]").containsExactly("2 [text] version");
        }

        @Test
        void acceptsMissingOptionalKeys() {
            assertFindings(new KeysPresent(FORMAT), "[text]", "version = 1", "[service x]")
                    .isEmpty();
        }
    }

    @Nested
    class KeyValuesRule {
        @Test
        void reportsEveryInvalidValueAndItem() {
            assertFindings(
                            new KeyValues(FORMAT),
                            "[text]",
                            "version = one",
                            "[service x]",
                            "deadline = 2",
                            "hosts = a:1, b, , c/d")
                    .containsExactly(
                            "2 [text] version",
                            "4 [service x] deadline",
                            "5 [service x] hosts",
                            "5 [service x] hosts",
                            "5 [service x] hosts");
        }

        @Test
        void acceptsValidValuesAndIgnoresUnknownKeys() {
            assertFindings(new KeyValues(FORMAT), "[text]", "version = 1 ; one", "other = x", "[other]", "slots = x")
                    .isEmpty();
        }
    }
}
