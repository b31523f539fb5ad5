package org.sardinepost.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against bytes that are lost or reordered, and against bodies that are taken for requests. */
final class ReadAheadBufferTest {
    private static final int CAPACITY = 4_096;
    private static final String FIRST = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String SECOND = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String THIRD = "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n";

    private final ReadAheadBuffer readAhead = new ReadAheadBuffer(CAPACITY);

    private String fill(String received) {
        ByteBuffer buffer = BufferUtil.allocate(CAPACITY);
        BufferUtil.append(buffer, bytes(received));
        readAhead.retainSurplus(buffer, received.length());
        return text(buffer);
    }

    private String next() {
        ByteBuffer buffer = BufferUtil.allocate(CAPACITY);
        readAhead.transferTo(buffer);
        return text(buffer);
    }

    private Optional<String> nextHead() {
        return readAhead.nextHead().map(ReadAheadBufferTest::text);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String text(ByteBuffer buffer) {
        return BufferUtil.toString(buffer, StandardCharsets.ISO_8859_1);
    }

    @Nested
    class PipelinedRequests {
        @Test
        void arePassedOnOneByOneAndKnownBeforehand() {
            assertThat(fill(FIRST + SECOND + THIRD)).isEqualTo(FIRST);
            assertThat(nextHead()).hasValue(SECOND);
            assertThat(nextHead()).hasValue(THIRD);
            assertThat(nextHead()).isEmpty();
            assertThat(next()).isEqualTo(SECOND);
            assertThat(nextHead()).isEmpty();
            assertThat(next()).isEqualTo(THIRD);
            assertThat(readAhead.isEmpty()).isTrue();
        }

        @Test
        void areKnownOnlyWhenComplete() {
            assertThat(fill(FIRST + SECOND.substring(0, 20))).isEqualTo(FIRST);
            assertThat(nextHead()).isEmpty();
            BufferUtil.append(readAhead.writable(), bytes(SECOND.substring(20)));
            assertThat(nextHead()).hasValue(SECOND);
        }
    }

    @Nested
    class AnUncertainBoundary {
        @Test
        void afterBareLineFeedsYieldsNoRequest() {
            // A lenient parser ends the first request at the two line feeds, so that the rest is the body of the
            // second.
            fill("GET /1 HTTP/1.1\nHost: a\n\nPOST /x HTTP/1.1\r\nContent-Length: 29\r\n\r\n" + SECOND);

            assertThat(nextHead()).isEmpty();
        }

        @Test
        void inTheMiddleOfAHeadYieldsNoRequest() {
            fill("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + "\r\n");
            BufferUtil.append(readAhead.writable(), bytes(SECOND));

            assertThat(nextHead()).isEmpty();
        }

        @Test
        void beforeALeadingLineBreakYieldsNoRequest() {
            fill(FIRST + "\r\n" + SECOND);

            assertThat(nextHead()).isEmpty();
        }
    }

    @Nested
    class Http2 {
        @Test
        void isPassedOnUnsplit() {
            String preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

            assertThat(fill(preface)).isEqualTo(preface);
            assertThat(nextHead()).isEmpty();
        }
    }

    @Nested
    class AnyStream {
        @Test
        void isPassedOnUnchanged() {
            Random random = new Random(20_261_205);
            for (int round = 0; round < 300; round++) {
                passesOn(randomStream(random), random);
            }
        }

        private String randomStream(Random random) {
            StringBuilder stream = new StringBuilder("G");
            String[] pieces = {
                "\r\n", "\r\n\r\n", "\n", "\r", "a", FIRST, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
            };
            for (int i = 0; i < 40; i++) {
                stream.append(pieces[random.nextInt(pieces.length)]);
            }
            return stream.toString();
        }

        private void passesOn(String stream, Random random) {
            ReadAheadBuffer buffer = new ReadAheadBuffer(CAPACITY);
            StringBuilder passed = new StringBuilder();
            List<String> heads = new ArrayList<>();
            int read = 0;
            while (passed.length() < stream.length()) {
                ByteBuffer target = BufferUtil.allocate(CAPACITY);
                if (buffer.isEmpty()) {
                    int length = Math.min(1 + random.nextInt(90), stream.length() - read);
                    BufferUtil.append(target, bytes(stream.substring(read, read + length)));
                    read += length;
                    buffer.retainSurplus(target, length);
                } else {
                    buffer.transferTo(target);
                }
                passed.append(text(target));
                buffer.nextHead().ifPresent(head -> heads.add(text(head)));
            }
            assertThat(passed.toString()).isEqualTo(stream);
            heads.forEach(head -> assertThat(head).endsWith("\r\n\r\n"));
        }
    }
}
