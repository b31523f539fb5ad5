package org.sardinepost.standins.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a load run that passes although a guarantee was violated. */
class WriteVerdictTest {
    private final WriteLog writeLog = new WriteLog();

    private WriteVerdict verdict(WriteLog.ReportedOutcome outcome, int executions) {
        writeLog.recordRequest("r");
        writeLog.recordOutcome("r", outcome);
        return WriteVerdict.of(writeLog, Map.of("r", executions));
    }

    @Nested
    class ReportsViolation {
        @Test
        void whenARequestRanTwice() {
            assertThat(verdict(WriteLog.ReportedOutcome.ANSWERED, 2).violations())
                    .hasSize(1);
        }

        @Test
        void whenNotRunWasReportedForARequestThatRan() {
            assertThat(verdict(WriteLog.ReportedOutcome.NOT_RUN, 1).violations())
                    .hasSize(1);
        }

        @Test
        void whenARequestWithAResponseNeverRan() {
            assertThat(verdict(WriteLog.ReportedOutcome.ANSWERED, 0).violations())
                    .hasSize(1);
        }
    }

    @Nested
    class ReportsNoViolation {
        @Test
        void whenARequestWithUnknownOutcomeRanOnce() {
            assertThat(verdict(WriteLog.ReportedOutcome.UNKNOWN, 1).violations())
                    .isEmpty();
        }

        @Test
        void whenNotRunIsFollowedByAResponse() {
            writeLog.recordOutcome("r", WriteLog.ReportedOutcome.NOT_RUN);
            assertThat(verdict(WriteLog.ReportedOutcome.ANSWERED, 1).violations())
                    .isEmpty();
        }
    }
}
