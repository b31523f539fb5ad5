package org.sardinepost.core.ini;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.membership.VmListFormat;
import org.sardinepost.core.settings.DaemonSettingsFormat;
import org.sardinepost.core.text.ServicesTextFormat;

/** Guards against a page whose keys, defaults or allowed values differ from those of the readers. */
class OperatorsPageTest {
    private static final String CHAPTER = "## Settings and services text";
    private static final int KEY = 1;
    private static final int MEANING = 2;
    private static final int DEFAULT = 4;
    private static final int ALLOWED = 5;

    @Test
    void tablesHaveEveryKeyAndNoOther() {
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
        String missing = key.required() ? "required" : "none";
        String defaultText = key.defaultText()
                .map(text -> text.isEmpty() ? "empty" : "`" + text + "`")
                .orElse(missing);
        return String.join(
                " | ",
                "`" + section.form() + " " + key.name() + "`",
                defaultText,
                key.type().allowed());
    }

    /** The cells of all rows in the chapter's tables. */
    private static Stream<String[]> rows() {
        List<String> lines = Pages.lines("operators.md");
        List<String> chapter = lines.subList(lines.indexOf(CHAPTER) + 1, lines.size());
        return chapter.stream()
                .takeWhile(line -> !line.startsWith("## "))
                .filter(line -> line.startsWith("| `["))
                .map(line -> line.split("\\s*\\|\\s*", -1));
    }
}
