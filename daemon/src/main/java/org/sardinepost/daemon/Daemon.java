package org.sardinepost.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.sardinepost.core.admission.PriorWait;
import org.sardinepost.core.membership.VmListReader;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.RepeatedTextReader;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.admin.AdminHandler;
import org.sardinepost.daemon.admin.Readiness;
import org.sardinepost.daemon.admin.StatusPage;
import org.sardinepost.daemon.call.CallPath;
import org.sardinepost.daemon.call.CallerHandler;
import org.sardinepost.daemon.call.CallsInProgress;
import org.sardinepost.daemon.call.HeldBytes;
import org.sardinepost.daemon.call.RefusalErrorHandler;
import org.sardinepost.daemon.call.RegisteredService;
import org.sardinepost.daemon.call.ServiceRegistry;
import org.sardinepost.daemon.call.UpstreamClient;
import org.sardinepost.daemon.call.UpstreamProber;
import org.sardinepost.daemon.control.ControlPlane;
import org.sardinepost.daemon.control.RegistryTarget;
import org.sardinepost.daemon.log.CallLog;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.metrics.CallMetrics;
import org.sardinepost.daemon.placement.CentralPlaces;
import org.sardinepost.daemon.placement.SharedDispatcher;
import org.sardinepost.daemon.token.DaemonTokens;

/** One daemon: wires the caller path, the admin address and the planned stop. */
public final class Daemon implements AutoCloseable {
    /** A third of the time after which callers give up on a connection that nobody reads from. */
    private static final long ACCEPT_WAIT_MILLIS = 400;

    private final ServiceRegistry registry;
    private final boolean readsConfiguration;
    private final PrometheusRegistry prometheus = new PrometheusRegistry();
    private final CallMetrics metrics = new CallMetrics(prometheus);
    private final CallsInProgress callsInProgress = new CallsInProgress();
    private final Readiness readiness = new Readiness();
    private final StatusPage status = new StatusPage();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("deadlines", true);
    private final HttpClient client;
    private final HeldBytes heldBytes;
    private final DaemonTokens tokens;
    private final ControlPlane control;
    private final Server callerServer;
    private final Server adminServer;
    private final PlannedStop plannedStop;

    public Daemon(DaemonSettings settings) {
        this(settings, DaemonParts.own());
    }

    public Daemon(DaemonSettings settings, DaemonParts parts) {
        this.readsConfiguration = settings.configuration().kind() != Source.Kind.NONE;
        this.heldBytes = new HeldBytes(settings.heldBytes());
        this.client = ClientFactory.create(settings.headerLimitBytes());
        this.registry = new ServiceRegistry(dispatchers(settings, parts), System::nanoTime);
        this.tokens = DaemonTokens.create(settings, System::nanoTime);
        this.control = controlPlane(settings, parts);
        tokens.useDirectory(control.peerDirectory());
        this.callerServer = CallerServerFactory.create(settings, new CallerHandler(callPath(settings, parts)));
        this.adminServer =
                AdminServerFactory.create(settings.adminAddress(), new AdminHandler(readiness, status, prometheus));
        this.plannedStop = new PlannedStop(callsInProgress, settings.drainWait(), this::closeListener);
        callerServer.setErrorHandler(new RefusalErrorHandler(metrics));
        observe(settings);
    }

    private ControlPlane controlPlane(DaemonSettings settings, DaemonParts parts) {
        RepeatedTextReader textReader = new RepeatedTextReader();
        return ControlPlane.builder(settings, tokens.incarnation())
                .handoverReceiver(tokens::adopt)
                .textReader(content -> textReader.read(settings.configuration().location(), content))
                .vmListReader(content -> VmListReader.read(settings.vms().location(), content))
                .target(new RegistryTarget(registry, System::nanoTime))
                .callerAddress(() -> new UpstreamId(settings.callerAddress().host(), callerPort()))
                .metrics(prometheus)
                .scheduler(scheduler)
                .centralPlaces(this::centralPlaces)
                .polledSource(parts.polledSource())
                .build();
    }

    private Function<Service, Dispatcher> dispatchers(DaemonSettings settings, DaemonParts parts) {
        UpstreamProber prober = new UpstreamProber(client, parts.upstreamProtocol());
        return DispatcherFactory.of(settings, () -> control().placement(), prober, scheduler);
    }

    private Optional<CentralPlaces> centralPlaces(String service) {
        return registry.named(service)
                .map(RegisteredService::dispatcher)
                .filter(SharedDispatcher.class::isInstance)
                .map(dispatcher -> ((SharedDispatcher) dispatcher).central());
    }

    private CallPath callPath(DaemonSettings settings, DaemonParts parts) {
        return new CallPath(
                registry,
                new UpstreamClient(client, control, parts.upstreamProtocol()),
                parts.ownAnswers(),
                tokens.guard(),
                () -> control.pauseGate().passage(),
                readsConfiguration ? control.ready() : CompletableFuture.completedFuture(null),
                heldBytes,
                callsInProgress,
                metrics,
                new CallLog(settings.requestIdHeader(), settings.callLogLinesPerSecond(), System::nanoTime),
                scheduler,
                System::nanoTime,
                settings.callerAddress(),
                () -> new Origin(control.peerAddress().toString(), settings.failureDomain()),
                new PriorWait(),
                settings.requestLimitBytes());
    }

    private void observe(DaemonSettings settings) {
        metrics.gauge("sardinepost_held_bytes", "Bytes of requests and answers held.", heldBytes::usedBytes);
        metrics.gauge("sardinepost_calls_in_progress", "Calls in progress.", callsInProgress::count);
        metrics.gauge(
                "sardinepost_tokens",
                "Idempotency tokens that have not expired, adopted ones included.",
                () -> tokens.usage().ownEntries() + tokens.usage().adoptedEntries());
        metrics.gauge(
                "sardinepost_token_answer_bytes",
                "Bytes of answers stored or reserved for repeats.",
                () -> tokens.usage().answerBytes());
        metrics.gauge(
                "sardinepost_placed_for_others",
                "Calls of other daemons that have a place from this one or wait for it.",
                () -> control.placement().placedForOthers());
        readiness.require(plannedStop::obstacle);
        readiness.require(control::obstacle);
        status.add(() -> control.status().lines());
        readiness.require(() -> registry.hasText() ? Optional.empty() : Optional.of("no services text"));
        status.add(() -> List.of(
                "caller-address: " + settings.callerAddress(),
                "failure-domain: " + settings.failureDomain(),
                "region: " + settings.region(),
                "ready: " + (readiness.obstacles().isEmpty() ? "yes" : "no"),
                "calls-in-progress: " + callsInProgress.count(),
                "held-bytes: " + heldBytes.usedBytes(),
                "tokens: " + tokens.usage().ownEntries() + " own, "
                        + tokens.usage().adoptedEntries() + " adopted",
                "services: " + String.join(", ", registry.names())));
    }

    /** The idempotency tokens of this incarnation. */
    public DaemonTokens tokens() {
        return tokens;
    }

    /** The services in force; whoever reads the configuration applies it here. */
    public ServiceRegistry registry() {
        return registry;
    }

    /** Conditions of readiness; other parts add theirs. */
    public Readiness readiness() {
        return readiness;
    }

    /** The status page; other parts add their lines. */
    public StatusPage status() {
        return status;
    }

    /** Configuration, membership and peers. */
    public ControlPlane control() {
        return control;
    }

    public PrometheusRegistry prometheus() {
        return prometheus;
    }

    public void apply(ServicesText text) {
        registry.apply(text, Map.of());
        LogEvent.TEXT_APPLIED.info(text.version(), text.services().size());
    }

    public void start() throws Exception {
        scheduler.start();
        client.start();
        // Callers that connect now wait in the accept queue instead of being turned away.
        callerListener().open();
        adminServer.start();
        control.start();
        awaitState();
        callerServer.start();
        LogEvent.STARTED.info(callerPort(), adminPort());
    }

    /** Calls that cannot be answered yet would take the processor from the work that they wait for. */
    private void awaitState() throws InterruptedException {
        if (!readsConfiguration) {
            return;
        }
        try {
            control.ready().get(ACCEPT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LogEvent.ACCEPTING_BEFORE_READY.info(ACCEPT_WAIT_MILLIS);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the start gate failed", e);
        }
    }

    /** The port of the caller address; differs from the settings if they ask for port 0. */
    public int callerPort() {
        return port(callerServer);
    }

    /** The port of the admin address; differs from the settings if they ask for port 0. */
    public int adminPort() {
        return port(adminServer);
    }

    private static int port(Server server) {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    private void closeListener() {
        callerListener().close();
    }

    private ServerConnector callerListener() {
        return (ServerConnector) callerServer.getConnectors()[0];
    }

    /** Drains and stops; completes when the last call has ended. The admin address answers until {@link #close}. */
    public CompletableFuture<Void> stop() {
        var unused = control.goodbye();
        return plannedStop.run().thenCompose(lastCallEnded -> handOver());
    }

    /** A failed hand-over is logged and ends the stop all the same; the tokens then get "unknown" from every daemon. */
    private CompletableFuture<Void> handOver() {
        return tokens.handOver(control.handoverTransport()).exceptionally(failure -> null);
    }

    /** Whether the planned stop has come to the point where new calls are refused. */
    boolean refusesCalls() {
        return callsInProgress.closed();
    }

    /** Ends at once; calls in progress are cut. */
    @Override
    public void close() throws Exception {
        callerServer.stop();
        control.close();
        adminServer.stop();
        client.stop();
        scheduler.stop();
    }
}
