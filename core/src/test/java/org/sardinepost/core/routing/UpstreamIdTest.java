package org.sardinepost.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against malformed addresses, which would make a daemon connect to the wrong upstream. */
class UpstreamIdTest {
    @Nested
    class Accepts {
        @Test
        void ipv4AddressAndPort() {
            assertThat(UpstreamId.parse("10.0.0.1:80")).hasValue(new UpstreamId("10.0.0.1", 80));
        }
    }

    @Nested
    class Rejects {
        @Test
        void missingPort() {
            assertThat(UpstreamId.parse("10.0.0.1")).isEmpty();
        }

        @Test
        void portOutOfRange() {
            assertThat(UpstreamId.parse("10.0.0.1:70000")).isEmpty();
        }

        @Test
        void missingHost() {
            assertThat(UpstreamId.parse(":80")).isEmpty();
        }
    }
}
