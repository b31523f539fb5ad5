package org.sardinepost.core.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against contexts that change in transit and forged values that bypass the limits. */
final class CallContextTest {
    @Property(seed = "1")
    void headerRoundTrips(@ForAll @IntRange(max = 9999) int depth, @ForAll @IntRange(min = 1, max = 3) int attempts) {
        CallContext context = new CallContext(Optional.of("booking"), depth, attempts);

        assertThat(CallContext.parse(context.headerValue())).hasValue(context);
    }

    @Property(seed = "1")
    void attemptsStayWithinLimit(@ForAll @IntRange(max = 9999) int attempts) {
        CallContext context =
                CallContext.parse("service=a; depth=1; attempts=" + attempts).orElseThrow();

        assertThat(context.attemptsLeft()).isIn(com.google.common.collect.Range.closed(1, CallContext.MAX_ATTEMPTS));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "service=a",
                "service=; depth=1; attempts=1",
                "service=a; depth=-1; attempts=1",
                "service=a; depth=99999; attempts=1",
                "service=a b; depth=1; attempts=1",
                "service=a; depth=1; attempts=1; more=1",
                "depth=1; service=a; attempts=1",
            })
    void malformedHeadersAreRejected(String header) {
        assertThat(CallContext.parse(header)).isEmpty();
    }
}
