package org.sardinepost.daemon;

import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.log.LogShutdown;

/** Shuts the daemon down gracefully when the process receives a termination signal. */
final class GracefulShutdownHook {
    private GracefulShutdownHook() {}

    static void install(Daemon daemon) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "planned-stop"));
    }

    private static void stop(Daemon daemon) {
        int exitCode = 0;
        try {
            daemon.stop().join();
            LogEvent.STOPPED.info();
        } catch (Exception e) {
            exitCode = 1;
            LogEvent.STOP_FAILED.error(e, e.getMessage());
        }
        LogShutdown.flushAndClose();
        // Without halt, the exit code after SIGTERM would be 143 even though the shutdown was graceful.
        Runtime.getRuntime().halt(exitCode);
    }
}
