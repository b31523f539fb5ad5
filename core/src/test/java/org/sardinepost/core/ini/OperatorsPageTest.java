package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.membership.VmListFormat;
import org.sardinepost.core.settings.DaemonSettingsFormat;
import org.sardinepost.core.text.ServicesTextFormat;

/** Guards against keys, defaults or allowed values on the operators page that differ from those in the code. */
class OperatorsPageTest {
    private static final String CHAPTER = "## Settings and services text";
    private static final int KEY = 1;
    private static final int MEANING = 2;
    private static final int DEFAULT = 4;
    private static final int ALLOWED = 5;

    @Test
    void tablesListExactlyTheDefinedKeys() {
        Stream<String> expected = Stream.of(DaemonSettingsFormat.FORMAT, ServicesTextFormat.FORMAT, VmListFormat.FORMAT)
                .flatMap(format -> format.sections().stream())
                .flatMap(section -> section.keys().stream().map(key -> row(section, key)));
        assertThat(rows().map(cells -> String.join(" | ", cells[KEY], cells[DEFAULT], cells[ALLOWED]))
                        .toList())
                .containsExactlyElementsIn(expected.toList())
                .inOrder();
    }

    @Test
    void everyKeyHasAMeaning() {
        rows().forEach(cells -> assertThat(cells[MEANING]).isNotEmpty());
    }

    private static String row(SectionFormat section, Key<?> key) {
        String noDefault = key.required() ? "required" : "none";
        String defaultText = key.defaultText()
                .map(text -> text.isEmpty() ? "empty" : "`" + text + "`")
                .orElse(noDefault);
        return String.join(
                " | ",
                "`" + section.headerSyntax() + " " + key.name() + "`",
                defaultText,
                key.type().allowed());
    }

    /** The cells of all rows of the tables in the chapter. */
    private static Stream<String[]> rows() {
        List<String> lines = DocPages.lines("operators.md");
        List<String> chapter = lines.subList(lines.indexOf(CHAPTER) + 1, lines.size());
        return chapter.stream()
                .takeWhile(line -> !line.startsWith("## "))
                .filter(line -> line.startsWith("| `["))
                .map(line -> line.split("\\s*\\|\\s*", -1));
    }
}
