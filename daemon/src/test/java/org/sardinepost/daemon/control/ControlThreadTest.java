package org.sardinepost.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an unexpected error that ends the repeated tasks of the control plane while the process goes on. */
@Timeout(60)
final class ControlThreadTest {
    @Test
    void aRepeatedTaskContinuesAfterAnError() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        try (ControlThread control = new ControlThread()) {
            control.scheduleRepeatedly(1, () -> {
                runs.countDown();
                throw new StackOverflowError("thrown by the test");
            });

            assertThat(runs.await(30, TimeUnit.SECONDS)).isTrue();
        }
    }
}
