package org.sardinepost.standins.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a load run that passes although a promise was broken. */
class WriteVerdictTest {
    private final WriteLog log = new WriteLog();

    private WriteVerdict verdict(WriteLog.Told told, int executions) {
        log.sent("r");
        log.told("r", told);
        return WriteVerdict.of(log, Map.of("r", executions));
    }

    @Nested
    class Fires {
        @Test
        void whenARequestRanTwice() {
            assertThat(verdict(WriteLog.Told.ANSWERED, 2).violations()).hasSize(1);
        }

        @Test
        void whenNotRunWasSaidOfARequestThatRan() {
            assertThat(verdict(WriteLog.Told.NOT_RUN, 1).violations()).hasSize(1);
        }

        @Test
        void whenAnAnswerCameFromNoExecution() {
            assertThat(verdict(WriteLog.Told.ANSWERED, 0).violations()).hasSize(1);
        }
    }

    @Nested
    class StaysSilent {
        @Test
        void whenAnUnknownRequestRanOnce() {
            assertThat(verdict(WriteLog.Told.UNKNOWN, 1).violations()).isEmpty();
        }

        @Test
        void whenNotRunIsFollowedByAnAnswer() {
            log.told("r", WriteLog.Told.NOT_RUN);
            assertThat(verdict(WriteLog.Told.ANSWERED, 1).violations()).isEmpty();
        }
    }
}
