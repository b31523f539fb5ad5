package org.sardinepost.standins.load;

import java.time.Duration;
import java.util.Optional;

/** CPU time of another process on this machine. */
final class CpuTime {
    private CpuTime() {}

    /** Returns the CPU time used since the process started, or empty if the process has ended. */
    static Optional<Duration> of(long pid) {
        return ProcessHandle.of(pid).map(ProcessHandle::info).flatMap(ProcessHandle.Info::totalCpuDuration);
    }
}
