package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against values that include part of a trailing comment or are cut off. */
class IniParserTest {
    @ParameterizedTest
    @CsvSource({
        "a ; c,a",
        "a # c,a",
        "a;c,a;c",
        "a#c,a#c",
        "; c,''",
        "a ;c ; d,a",
        "${sys:user.home} ; c,${sys:user.home}"
    })
    void stripsTrailingComments(String value, String expected) {
        IniDocument document = IniParser.parse("f.ini", "[a]\nx.y = " + value + "\nother = b\nx.y = d ; c");
        assertThat(document.sections().get(0).value("x.y")).hasValue(expected);
        assertThat(document.sections().get(0).value("other")).hasValue("b");
    }
}
