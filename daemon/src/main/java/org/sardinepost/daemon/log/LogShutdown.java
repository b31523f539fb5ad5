package org.sardinepost.daemon.log;

import org.tinylog.provider.ProviderRegistry;

/**
 * Writes the queued log lines before the process exits.
 *
 * <p>tinylog would close the log as soon as the exit of the process begins, and the lines of a graceful shutdown would be
 * lost. Its automatic shutdown is therefore off, and each exit calls this class.
 */
public final class LogShutdown {
    private LogShutdown() {}

    /** Closes the log. Waits at most half a second for a slow reader of standard output. */
    public static void flushAndClose() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
