package org.sardinepost.daemon;

import java.util.List;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;

/** Starts daemons on ephemeral ports. */
final class TestDaemon {
    private TestDaemon() {}

    static DaemonSettings.Builder settings() {
        UpstreamId anyPort = new UpstreamId("127.0.0.1", 0);
        return DaemonSettings.builder()
                .callerAddress(anyPort)
                .adminAddress(anyPort)
                .peerAddress(anyPort)
                .failureDomain("test-1")
                .region("test")
                .configuration(Source.none());
    }

    static Daemon start(DaemonSettings.Builder settings, Service... services) throws Exception {
        return start(settings, DaemonExtensions.defaults(), services);
    }

    static Daemon start(DaemonSettings.Builder settings, DaemonExtensions extensions, Service... services)
            throws Exception {
        Daemon daemon = new Daemon(settings.build(), extensions);
        daemon.apply(new ServicesText(1, 1, List.of(services)));
        daemon.start();
        return daemon;
    }
}
