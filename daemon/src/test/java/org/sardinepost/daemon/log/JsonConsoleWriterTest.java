package org.sardinepost.daemon.log;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

/** Verifies that log lines are valid JSON and that a stalled reader of the log does not block the daemon. */
final class JsonConsoleWriterTest {
    private static LogEntry entry(String message, Throwable exception) {
        return new LogEntry(
                RuntimeProvider.createTimestamp(),
                Thread.currentThread(),
                Map.of(),
                "org.example.Library",
                "run",
                "Library.java",
                1,
                null,
                Level.INFO,
                message,
                exception);
    }

    private static JsonObject parsedLine(LogEntry entry) {
        return JsonParser.parseString(JsonConsoleWriter.line(entry)).getAsJsonObject();
    }

    @Nested
    class FormattedLines {
        @Test
        void logEventHasEventCode() {
            JsonObject line = parsedLine(entry("SP-213 the connection to \"peer\" ended", null));

            assertThat(line.get("event").getAsString()).isEqualTo("SP-213");
            assertThat(line.get("message").getAsString()).isEqualTo("the connection to \"peer\" ended");
            assertThat(line.get("level").getAsString()).isEqualTo("info");
            assertThat(line.has("at")).isTrue();
        }

        @Test
        void callRecordMembersAreInlined() {
            JsonObject line = parsedLine(entry("SP-300 {\"id\":\"a\",\"status\":200}", null));

            assertThat(line.get("event").getAsString()).isEqualTo("SP-300");
            assertThat(line.get("id").getAsString()).isEqualTo("a");
            assertThat(line.get("status").getAsInt()).isEqualTo(200);
        }

        @Test
        void libraryEntryHasClassAndException() {
            JsonObject line = parsedLine(entry("failed\nbadly", new IllegalStateException("cause")));

            assertThat(line.get("class").getAsString()).isEqualTo("org.example.Library");
            assertThat(line.get("message").getAsString()).isEqualTo("failed\nbadly");
            assertThat(line.get("exception").getAsString()).contains("IllegalStateException: cause");
        }
    }

    @Nested
    class BlockedOutput {
        private final CountDownLatch outputReleased = new CountDownLatch(1);

        /** An output stream whose writes block until the test releases it. */
        private final OutputStream blockedOutput = new OutputStream() {
            @Override
            public void write(int value) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                try {
                    outputReleased.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };

        @Test
        @Timeout(60)
        void doesNotBlockWriters() {
            JsonConsoleWriter writer = new JsonConsoleWriter(blockedOutput);
            for (int i = 0; i < 20_000; i++) {
                writer.write(entry("SP-300 {}", null));
            }

            outputReleased.countDown();
        }

        @Test
        void droppedLinesAreCounted() throws InterruptedException {
            BoundedLineQueue queue = new BoundedLineQueue(3);
            for (int i = 0; i < 5; i++) {
                queue.add("line " + i);
            }

            assertThat(queue.takeAll())
                    .containsExactly("line 0", "line 1", "line 2")
                    .inOrder();
            assertThat(queue.takeDroppedCount()).isEqualTo(2);
            assertThat(queue.takeDroppedCount()).isEqualTo(0);
        }
    }
}
