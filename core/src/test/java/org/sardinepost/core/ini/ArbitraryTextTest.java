package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.sardinepost.core.membership.VmListFormat;
import org.sardinepost.core.membership.VmListReader;
import org.sardinepost.core.settings.DaemonSettingsFormat;
import org.sardinepost.core.settings.DaemonSettingsReader;
import org.sardinepost.core.text.ServicesTextFormat;
import org.sardinepost.core.text.ServicesTextReader;

/** Guards against readers that throw on malformed text instead of rejecting it, which would end the control thread. */
class ArbitraryTextTest {
    private static final int TRIES = 3_000;

    @Property(seed = "4713", tries = TRIES)
    void servicesText(@ForAll("servicesTexts") String text) {
        assertValueOrFindings(ServicesTextReader.read("f.ini", text));
    }

    @Property(seed = "4714", tries = TRIES)
    void settings(@ForAll("settingsTexts") String text) {
        assertValueOrFindings(DaemonSettingsReader.read("f.ini", text));
    }

    @Property(seed = "4715", tries = TRIES)
    void vmList(@ForAll("vmTexts") String text) {
        assertValueOrFindings(VmListReader.read("f.ini", text));
    }

    @Provide
    Arbitrary<String> servicesTexts() {
        return texts(ServicesTextFormat.FORMAT, "[text]\nversion = 1\n[service c]\n");
    }

    @Provide
    Arbitrary<String> settingsTexts() {
        return texts(DaemonSettingsFormat.FORMAT, DocPages.block("design.md", "[daemon]"));
    }

    @Provide
    Arbitrary<String> vmTexts() {
        return texts(VmListFormat.FORMAT, "[vm 10.0.0.2:80]\nrole=daemon\nstate=live\nfailure-domain=a\n");
    }

    private static void assertValueOrFindings(ValidationResult<?> result) {
        assertThat(result.value().isPresent()).isEqualTo(result.findings().isEmpty());
        result.findings().forEach(finding -> assertThat(finding.line()).isAtLeast(1));
    }

    /** Known headers and keys with known or arbitrary values, and arbitrary lines; half of the texts start validly. */
    private static Arbitrary<String> texts(FileFormat format, String validPrefix) {
        List<String> knownValues = Stream.concat(
                        Stream.of(
                                "a", "b", "1", "2s", "4MiB", "10%", "true", "GET", "/a*", "10.0.0.1:80", "[::1]:80@a"),
                        Stream.of("upstream", "live", "file", "\\", "'", "\"", "a, b", "${sys:user.home}", " ;", "#"))
                .toList();
        List<String> headers = format.sections().stream()
                .flatMap(section ->
                        Stream.of("", " a", " b", " 10.0.0.1:80").map(name -> "[" + section.header() + name + "]"))
                .toList();
        List<String> keys = format.sections().stream()
                .flatMap(section -> section.keys().stream())
                .map(Key::name)
                .toList();
        Arbitrary<String> values = Arbitraries.frequencyOf(
                Tuple.of(4, Arbitraries.of(knownValues)),
                Tuple.of(1, Arbitraries.strings().ofMaxLength(12)));
        Arbitrary<String> entries = Arbitraries.of(keys)
                .flatMap(key ->
                        values.list().ofMinSize(1).ofMaxSize(2).map(list -> key + " = " + String.join("", list)));
        return Arbitraries.frequencyOf(
                        Tuple.of(3, Arbitraries.of(headers)),
                        Tuple.of(6, entries),
                        Tuple.of(1, Arbitraries.strings().ofMaxLength(12)))
                .list()
                .ofMaxSize(10)
                .map(lines -> String.join("\n", lines))
                .flatMap(text -> Arbitraries.of(text, validPrefix + text));
    }
}
