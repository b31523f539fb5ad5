package org.sardinepost.standins.load;

import java.time.Duration;
import java.util.Optional;

/** Processor time of another process of this machine. */
final class ProcessorTime {
    private ProcessorTime() {}

    /** Time used since the process started; empty if the process has ended. */
    static Optional<Duration> of(long pid) {
        return ProcessHandle.of(pid).map(ProcessHandle::info).flatMap(ProcessHandle.Info::totalCpuDuration);
    }
}
