package org.sardinepost.daemon;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.sardinepost.core.clients.ClientLimits;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.daemon.log.LogEvent;

/** Determines the bounds on what clients can make this process hold. */
final class ClientLimitsFactory {
    /** The other half is for upstreams, peers, the configuration service, the admin address and files. */
    private static final int CALLERS_DIVISOR = 2;

    private ClientLimitsFactory() {}

    static ClientLimits create(DaemonSettings settings, long bodyBytes) {
        return new ClientLimits(
                bodyBytes,
                settings.connectionShare(),
                connections(settings.connections()),
                settings.stallTime().toNanos(),
                settings.refusalPause().toNanos());
    }

    private static int connections(int setting) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long descriptors = system.getMaxFileDescriptorCount();
            int available = (int) Math.min(Integer.MAX_VALUE, descriptors / CALLERS_DIVISOR);
            if (available < setting) {
                LogEvent.CONNECTION_LIMIT_LOWERED.warn(available, setting, descriptors);
                return available;
            }
        }
        return setting;
    }
}
