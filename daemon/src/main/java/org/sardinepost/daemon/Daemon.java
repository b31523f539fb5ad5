package org.sardinepost.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.sardinepost.core.routing.LeastInFlightDispatcher;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.CallPath;
import org.sardinepost.daemon.call.CallerHandler;
import org.sardinepost.daemon.call.CallsInProgress;
import org.sardinepost.daemon.call.DispatchGate;
import org.sardinepost.daemon.call.HeldBytes;
import org.sardinepost.daemon.call.RefusalErrorHandler;
import org.sardinepost.daemon.call.RequestGuard;
import org.sardinepost.daemon.call.ServiceRegistry;
import org.sardinepost.daemon.call.UpstreamClient;
import org.sardinepost.daemon.metrics.CallMetrics;

/** One daemon: wires the caller path to the registry of services. */
public final class Daemon implements AutoCloseable {
    private final ServiceRegistry registry =
            new ServiceRegistry(service -> new LeastInFlightDispatcher(), System::nanoTime);
    private final PrometheusRegistry prometheus = new PrometheusRegistry();
    private final CallMetrics metrics = new CallMetrics(prometheus);
    private final CallsInProgress callsInProgress = new CallsInProgress();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("deadlines", true);
    private final HeldBytes heldBytes;
    private final HttpClient client = ClientFactory.create();
    private final Server server;

    public Daemon(DaemonSettings settings) {
        this.heldBytes = new HeldBytes(settings.heldBytes());
        this.server = CallerServerFactory.create(settings, new CallerHandler(callPath(settings)));
        server.setErrorHandler(new RefusalErrorHandler(metrics));
        metrics.gauge("sardinepost_held_bytes", "Bytes of requests and answers held.", heldBytes::usedBytes);
        metrics.gauge("sardinepost_calls_in_progress", "Calls in progress.", callsInProgress::count);
    }

    private CallPath callPath(DaemonSettings settings) {
        return new CallPath(
                registry,
                new UpstreamClient(client),
                RequestGuard.passThrough(),
                DispatchGate.open(),
                heldBytes,
                callsInProgress,
                metrics,
                scheduler,
                System::nanoTime,
                settings.callerAddress(),
                settings.requestLimitBytes());
    }

    /** The services in force; whoever reads the configuration applies it here. */
    public ServiceRegistry registry() {
        return registry;
    }

    public void apply(ServicesText text) {
        registry.apply(text, Map.of());
    }

    public void start() throws Exception {
        scheduler.start();
        client.start();
        server.start();
    }

    /** The port of the caller address; differs from the settings if they ask for port 0. */
    public int callerPort() {
        return CallerServerFactory.port(server);
    }

    @Override
    public void close() throws Exception {
        server.stop();
        client.stop();
        scheduler.stop();
    }
}
