package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RetryReason;
import org.sardinepost.daemon.log.LogEvent;

/** Verifies that the operators' documentation lists every log event, refusal reason and retry reason. */
final class OperatorDocsTest {
    private static final Path DOCS = Path.of("..", "docs");

    private static List<String> tableRows(String page, String firstCell) throws IOException {
        return Pattern.compile("(?m)^\\| (" + firstCell + ") \\|.*$")
                .matcher(Files.readString(DOCS.resolve(page)))
                .results()
                .map(MatchResult::group)
                .toList();
    }

    @Test
    void everyLogEventHasOneRowWithItsMessage() throws IOException {
        List<String> tableRows = tableRows("events.md", "SP-\\d+");

        for (LogEvent event : LogEvent.values()) {
            assertThat(tableRows.stream()
                            .filter(row -> row.startsWith("| " + event.code() + " |"))
                            .filter(row -> row.contains("| " + event.message() + " |")))
                    .hasSize(1);
        }
        assertThat(tableRows).hasSize(LogEvent.values().length);
    }

    @Test
    void logEventNumbersAreUnique() {
        assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::code).toList())
                .containsNoDuplicates();
    }

    @Test
    void everyRefusalReasonHasOneRowWithItsStatus() throws IOException {
        List<String> tableRows = tableRows("operators.md", "`[a-z-]+`");

        for (RefusalReason reason : RefusalReason.values()) {
            String expectedPrefix = "| `" + reason.label() + "` | " + reason.status();
            assertThat(tableRows.stream().filter(row -> row.startsWith(expectedPrefix)))
                    .hasSize(1);
        }
    }

    @Test
    void everyRetryReasonHasOneRow() throws IOException {
        List<String> tableRows = tableRows("operators.md", "`[a-z-]+`");

        for (RetryReason reason : RetryReason.values()) {
            Pattern row = Pattern.compile("\\| `" + reason.label() + "` \\| (all|idempotent) \\|.*");
            assertThat(tableRows.stream().filter(row.asMatchPredicate())).hasSize(1);
        }
    }
}
