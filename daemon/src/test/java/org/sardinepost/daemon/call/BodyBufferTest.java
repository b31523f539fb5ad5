package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against growing bodies that take more memory than was reserved for them, which exhausted the heap. */
final class BodyBufferTest {
    private static final int MAX_BYTES = 4 << 20;

    private static byte[] body(int bytes) {
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = (byte) (i * 31);
        }
        return body;
    }

    private static ByteBuffer part(byte[] body, int from, int partBytes) {
        return ByteBuffer.wrap(Arrays.copyOfRange(body, from, Math.min(body.length, from + partBytes)));
    }

    @ParameterizedTest
    @CsvSource({"4192200, 15300", "4194304, 15300", "2100000, 16384", "4194304, 1000", "70000, 7", "1, 1"})
    void takesAtMostTwiceItsMaximumWhileItGrows(int bodyBytes, int partBytes) {
        byte[] body = body(bodyBytes);
        BodyBuffer buffer = BodyBuffer.growing(MAX_BYTES);
        for (int from = 0; from < bodyBytes; from += partBytes) {
            ByteBuffer part = part(body, from, partBytes);
            assertThat(buffer.bytesToAppend(part.remaining())).isAtMost(2L * MAX_BYTES);
            buffer.append(part);
        }

        assertThat(buffer.toByteBuffer().array().length).isAtMost(MAX_BYTES);
        assertThat(buffer.toByteBuffer()).isEqualTo(ByteBuffer.wrap(body));
    }

    @Test
    void statesTheMemoryForTheCopyThatGrowingMakes() {
        BodyBuffer buffer = BodyBuffer.growing(MAX_BYTES);
        buffer.append(ByteBuffer.wrap(body(3000)));

        assertThat(buffer.bytesToAppend(1000)).isEqualTo(3000 + 2 * 3000 + 1024);
        buffer.append(ByteBuffer.wrap(body(1000)));
        assertThat(buffer.bytesToAppend(1000)).isEqualTo(2 * 3000 + 1024);
    }

    @Test
    void ofKnownLengthIsNeverCopied() {
        BodyBuffer buffer = BodyBuffer.ofLength(3000);

        assertThat(buffer.bytesToAppend(3000)).isEqualTo(3000);
    }
}
