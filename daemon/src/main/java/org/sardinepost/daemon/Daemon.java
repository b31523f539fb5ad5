package org.sardinepost.daemon;

import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.sardinepost.core.routing.LeastInFlightDispatcher;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.CallerHandler;
import org.sardinepost.daemon.call.ServiceRegistry;
import org.sardinepost.daemon.call.UpstreamClient;

/** One daemon: wires the caller path to the registry of services. */
public final class Daemon implements AutoCloseable {
    private final ServiceRegistry registry =
            new ServiceRegistry(service -> new LeastInFlightDispatcher(), System::nanoTime);
    private final HttpClient client;
    private final Server server;

    public Daemon(DaemonSettings settings) {
        this.client = ClientFactory.create();
        this.server = CallerServerFactory.create(
                settings,
                new CallerHandler(
                        registry, new UpstreamClient(client), settings.requestLimitBytes(), System::nanoTime));
    }

    /** The services in force; whoever reads the configuration applies it here. */
    public ServiceRegistry registry() {
        return registry;
    }

    public void apply(ServicesText text) {
        registry.apply(text, Map.of());
    }

    public void start() throws Exception {
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
    }
}
