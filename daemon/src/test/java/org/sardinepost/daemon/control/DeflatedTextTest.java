package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against large texts that occupy the link of the daemon that passes them on, and against malformed ones. */
final class DeflatedTextTest {
    private static String routes(int count) {
        SplittableRandom random = new SplittableRandom(1);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("[route r-")
                    .append(Long.toString(random.nextLong(1L << 35), 36))
                    .append("]\nhost = orders.example\npath-prefix = /")
                    .append(Long.toString(random.nextLong(1L << 40), 36))
                    .append("/\nservices = orders\nidempotent = true\nattempts = 2\ntime-limit = 1000ms\n");
        }
        return text.toString();
    }

    @Test
    void ofManyRoutesHasAQuarterOfTheirSizeAtMost() {
        String text = routes(1_440);
        ByteString deflated = DeflatedText.deflate(text);

        assertThat(deflated.size()).isLessThan(text.length() / 4);
        assertThat(DeflatedText.inflate(deflated)).isEqualTo(text);
    }

    @Test
    void thatIsMalformedIsRefused() {
        assertThrows(SourceException.class, () -> DeflatedText.inflate(ByteString.copyFromUtf8("no deflated text")));
    }

    @Test
    void thatIsTooLargeIsRefused() {
        ByteString deflated = DeflatedText.deflate(" ".repeat(5 << 20));

        assertThrows(SourceException.class, () -> DeflatedText.inflate(deflated));
    }
}
