package org.sardinepost.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.sardinepost.core.admission.PriorWaitEstimator;
import org.sardinepost.core.clients.ClientLimits;
import org.sardinepost.core.clients.ClientLoadPolicy;
import org.sardinepost.core.ini.ValueCache;
import org.sardinepost.core.membership.VmListReader;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.routing.ConnectionUse;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.CachingServicesTextReader;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.admin.AdminHandler;
import org.sardinepost.daemon.admin.Readiness;
import org.sardinepost.daemon.admin.StatusPage;
import org.sardinepost.daemon.call.CallDependencies;
import org.sardinepost.daemon.call.CallerConnections;
import org.sardinepost.daemon.call.CallerHandler;
import org.sardinepost.daemon.call.CallsInProgress;
import org.sardinepost.daemon.call.EvacuationGuard;
import org.sardinepost.daemon.call.HeldBytes;
import org.sardinepost.daemon.call.RefusalErrorHandler;
import org.sardinepost.daemon.call.RegisteredService;
import org.sardinepost.daemon.call.ServiceRegistry;
import org.sardinepost.daemon.call.UpstreamClient;
import org.sardinepost.daemon.call.UpstreamProber;
import org.sardinepost.daemon.control.ControlPlane;
import org.sardinepost.daemon.control.RegistryRoutingTarget;
import org.sardinepost.daemon.http.IdleConnectionCloser;
import org.sardinepost.daemon.log.CallLog;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.metrics.CallMetrics;
import org.sardinepost.daemon.placement.SharedDispatcher;
import org.sardinepost.daemon.placement.TimedCentralDispatcher;
import org.sardinepost.daemon.token.DaemonTokens;

/** A daemon instance: connects the components for calls, the admin address, the control plane and graceful shutdown. */
public final class Daemon implements AutoCloseable {
    /** One third of the time after which callers abandon a connection from which the daemon does not read. */
    private static final long STARTUP_WAIT_MILLIS = 400;

    /** The connections of callers are reviewed several times in the shortest stall time of the settings. */
    private static final long REVIEW_MILLIS = 100;

    private final ServiceRegistry serviceRegistry;
    private final boolean hasConfigurationSource;
    private final PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    private final CallMetrics metrics = new CallMetrics(metricsRegistry);
    private final CallsInProgress callsInProgress = new CallsInProgress();
    private final Readiness readiness = new Readiness();
    private final StatusPage statusPage = new StatusPage();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("deadlines", true);
    private final HttpClient httpClient;
    private final HeldBytes heldBytes;
    private final ClientLimits clientLimits;
    private final CallerConnections callerConnections;
    private final DaemonTokens tokens;
    private final CapacityReporter capacityReporter;
    private final ControlPlane controlPlane;
    private final Server callerServer;
    private final Server adminServer;
    private final GracefulShutdown gracefulShutdown;

    public Daemon(DaemonSettings settings) {
        this(settings, DaemonExtensions.defaults());
    }

    public Daemon(DaemonSettings settings, DaemonExtensions extensions) {
        this.hasConfigurationSource = settings.configuration().kind() != Source.Kind.NONE;
        this.heldBytes =
                HeldBytes.withinHeap(settings.heldBytes(), Runtime.getRuntime().maxMemory());
        this.clientLimits = ClientLimitsFactory.create(settings, heldBytes.limitBytes());
        this.callerConnections =
                new CallerConnections(new ClientLoadPolicy(clientLimits), heldBytes, metrics, System::nanoTime);
        this.httpClient = UpstreamHttpClientFactory.create(settings.headerLimitBytes());
        this.serviceRegistry = new ServiceRegistry(
                dispatcherFactory(settings, extensions), coldTolerance(settings, extensions), System::nanoTime);
        this.capacityReporter = new CapacityReporter(serviceRegistry, System::nanoTime);
        this.tokens = DaemonTokens.create(settings, System::nanoTime);
        this.controlPlane = createControlPlane(settings, extensions);
        tokens.setPeerDirectory(controlPlane.peerDirectory());
        this.callerServer = CallerServerFactory.create(
                settings, callerConnections, new CallerHandler(createCallDependencies(settings, extensions)));
        this.adminServer = AdminServerFactory.create(
                settings.adminAddress(), new AdminHandler(readiness, statusPage, metricsRegistry));
        this.gracefulShutdown = new GracefulShutdown(callsInProgress, settings.drainWait(), this::closeCallerConnector);
        callerServer.setErrorHandler(new RefusalErrorHandler(metrics));
        registerMetricsAndStatus(settings);
    }

    private ControlPlane createControlPlane(DaemonSettings settings, DaemonExtensions extensions) {
        CachingServicesTextReader textReader = new CachingServicesTextReader();
        ValueCache vmListCache = new ValueCache();
        return ControlPlane.builder(settings, tokens.incarnation())
                .handoverReceiver(tokens::adopt)
                .textReader(content -> textReader.read(settings.configuration().location(), content))
                .vmListReader(content -> VmListReader.read(settings.vms().location(), content, vmListCache))
                .target(new RegistryRoutingTarget(
                        serviceRegistry, System::nanoTime, new IdleConnectionCloser(httpClient)::close))
                .processorCapacity(extensions.processorCapacity().orElse(settings.processorCapacity()))
                .coldTolerance(coldTolerance(settings, extensions))
                .callerAddress(() -> new UpstreamId(settings.callerAddress().host(), callerPort()))
                .metrics(metricsRegistry)
                .scheduler(scheduler)
                .centralDispatchers(this::centralDispatcher)
                .polledSource(extensions.polledSource())
                .build();
    }

    private static ColdTolerance coldTolerance(DaemonSettings settings, DaemonExtensions extensions) {
        return extensions.coldTolerance().orElse(settings.coldTolerance());
    }

    private Function<Service, Dispatcher> dispatcherFactory(DaemonSettings settings, DaemonExtensions extensions) {
        UpstreamProber prober = new UpstreamProber(httpClient, extensions.upstreamProtocol());
        return DispatcherFactory.of(
                settings,
                () -> controlPlane().placement(),
                prober,
                this::controlPlane,
                () -> controlPlane().coldPlacement(),
                scheduler);
    }

    private Optional<TimedCentralDispatcher> centralDispatcher(String service) {
        return serviceRegistry
                .findService(service)
                .map(RegisteredService::dispatcher)
                .filter(SharedDispatcher.class::isInstance)
                .map(dispatcher -> ((SharedDispatcher) dispatcher).centralDispatcher());
    }

    private CallDependencies createCallDependencies(DaemonSettings settings, DaemonExtensions extensions) {
        return new CallDependencies(
                serviceRegistry,
                new UpstreamClient(httpClient, controlPlane, extensions.upstreamProtocol()),
                extensions.localResponseTranslator(),
                tokens.guard(),
                () -> controlPlane.pauseGate().whenOpen(),
                hasConfigurationSource ? controlPlane.ready() : CompletableFuture.completedFuture(null),
                heldBytes,
                callsInProgress,
                metrics,
                new CallLog(settings.requestIdHeader(), settings.callLogLinesPerSecond(), System::nanoTime),
                scheduler,
                System::nanoTime,
                settings.callerAddress(),
                () -> new Origin(controlPlane.peerAddress().toString(), settings.failureDomain()),
                new PriorWaitEstimator(),
                settings.requestLimitBytes());
    }

    private void registerMetricsAndStatus(DaemonSettings settings) {
        metrics.registerGauge("sardinepost_held_bytes", "Bytes of requests and answers held.", heldBytes::usedBytes);
        metrics.registerGauge(
                "sardinepost_waiting_answers",
                "Answers that wait for held bytes before they are read on.",
                heldBytes::waitingResponses);
        metrics.registerGauge(
                "sardinepost_call_bytes",
                "Bytes of heads, of requests read ahead and of other parts of calls.",
                () -> heldBytes.state().callBytes());
        metrics.registerGauge(
                "sardinepost_connections", "Open connections of callers.", () -> callerConnections.count());
        metrics.registerGauge("sardinepost_calls_in_progress", "Calls in progress.", callsInProgress::count);
        metrics.registerGauge(
                "sardinepost_tokens",
                "Idempotency tokens that have not expired, adopted ones included.",
                () -> tokens.usage().ownEntries() + tokens.usage().adoptedEntries());
        metrics.registerGauge(
                "sardinepost_token_answer_bytes",
                "Bytes of answers stored or reserved for repeats.",
                () -> tokens.usage().responseBytes());
        metrics.registerGauge(
                "sardinepost_placed_for_others",
                "Calls of other daemons that have a place from this one or wait for it.",
                () -> controlPlane.placement().remoteDispatches());
        metrics.registerGauge(
                "sardinepost_coordinator_timeouts",
                "Calls dispatched locally because the coordinator did not respond in time, since the start.",
                () -> controlPlane.placement().coordinatorTimeouts());
        metrics.registerGauge(
                "sardinepost_failure_domains_evacuated",
                "Failure domains that are evacuated.",
                () -> evacuationGuard().evacuation().domains().size());
        metrics.registerGauge(
                "sardinepost_upstreams_held_back",
                "Upstreams that get no requests because their failure domain is evacuated.",
                () -> evacuationGuard().evacuation().upstreams().size());
        metrics.registerGauge(
                "sardinepost_placements_rejected",
                "Placements that were not used because the failure domain was evacuated meanwhile, since the start.",
                () -> evacuationGuard().rejectedDispatches());
        metrics.registerGauge(
                "sardinepost_cold_upstreams",
                "Upstreams that have just started and get few calls.",
                () -> sum(dispatcher -> dispatcher.coldUpstreams(System.nanoTime())));
        metrics.registerGauge(
                "sardinepost_cold_calls",
                "Calls sent to cold upstreams, since the start.",
                () -> sum(Dispatcher::callsToCold));
        metrics.registerReasonGauge(
                "sardinepost_placements",
                "Placements by use of idle connections, since the start.",
                ConnectionUse.class,
                ConnectionUse::label,
                use -> sum(dispatcher -> dispatcher.placements(use)));
        metrics.registerGauge(
                "sardinepost_refusing_upstreams",
                "Upstreams that get only calls that no other can take because they refuse calls with free slots.",
                () -> sum(dispatcher ->
                        dispatcher.refusingUpstreams(System.nanoTime()).size()));
        metrics.registerGauge(
                "sardinepost_overflowed_calls",
                "Calls sent to such upstreams because no other could take them, since the start.",
                () -> sum(Dispatcher::overflowedCalls));
        metrics.registerGauge(
                "sardinepost_cold_placement",
                "1 while enough daemons are connected to send calls to cold upstreams.",
                () -> controlPlane.coldPlacement().connectedToMajority() ? 1 : 0);
        capacityReporter.registerMetrics(metricsRegistry);
        readiness.addCheck(gracefulShutdown::unreadyReason);
        readiness.addCheck(controlPlane::unreadyReason);
        statusPage.addSection(() -> controlPlane.status().lines());
        statusPage.addSection(() -> List.of(evacuationGuard().statusLine()));
        statusPage.addSection(this::coldUpstreamLines);
        statusPage.addSection(capacityReporter::statusLines);
        readiness.addCheck(() -> serviceRegistry.hasText() ? Optional.empty() : Optional.of("no services text"));
        statusPage.addSection(() -> List.of(
                "caller-address: " + settings.callerAddress(),
                "failure-domain: " + settings.failureDomain(),
                "region: " + settings.region(),
                "ready: " + (readiness.unreadyReasons().isEmpty() ? "yes" : "no"),
                "calls-in-progress: " + callsInProgress.count(),
                "held-bytes: " + heldBytes.usedBytes(),
                "held-bytes-limit: " + heldBytes.limitBytes(),
                "call-bytes: " + heldBytes.state().callBytes() + " of " + clientLimits.callBytes(),
                "caller-connections: " + callerConnections.count() + " of " + clientLimits.connections() + ", "
                        + callerConnections.closedCount() + " closed",
                "tokens: " + tokens.usage().ownEntries() + " own, "
                        + tokens.usage().adoptedEntries() + " adopted",
                "services: " + String.join(", ", serviceRegistry.names())));
    }

    private EvacuationGuard evacuationGuard() {
        return serviceRegistry.evacuationGuard();
    }

    private long sum(ToLongFunction<Dispatcher> value) {
        return serviceRegistry.services().stream()
                .map(RegisteredService::dispatcher)
                .mapToLong(value)
                .sum();
    }

    /** Returns the status lines about cold upstreams; none if no service has a warm-up time. */
    private List<String> coldUpstreamLines() {
        if (!controlPlane.coldPlacement().needed()) {
            return List.of();
        }
        return List.of(
                "upstreams-cold: " + sum(dispatcher -> dispatcher.coldUpstreams(System.nanoTime())),
                "cold-placement: " + (controlPlane.coldPlacement().connectedToMajority() ? "yes" : "no"));
    }

    /** Returns the idempotency tokens of this incarnation. */
    public DaemonTokens tokens() {
        return tokens;
    }

    /** Returns the active services; a new configuration is applied to this registry. */
    public ServiceRegistry serviceRegistry() {
        return serviceRegistry;
    }

    /** Returns the readiness checks, to which other components may add their own. */
    public Readiness readiness() {
        return readiness;
    }

    /** Returns the status page, to which other components may add sections. */
    public StatusPage statusPage() {
        return statusPage;
    }

    /** Returns the control plane, which handles configuration, membership and peers. */
    public ControlPlane controlPlane() {
        return controlPlane;
    }

    public PrometheusRegistry metricsRegistry() {
        return metricsRegistry;
    }

    public void apply(ServicesText text) {
        serviceRegistry.apply(text, Map.of());
        LogEvent.SERVICES_TEXT_APPLIED.info(text.version(), text.services().size());
    }

    /** Accepts calls from a listener that is already bound to the caller address. Must be called before {@link #start}. */
    void setCallerListener(ServerSocketChannel listener) {
        callerConnector().setListener(listener);
    }

    public void start() throws Exception {
        scheduler.start();
        httpClient.start();
        // From here on at the latest, new connections wait in the accept backlog instead of being refused.
        callerConnector().open();
        adminServer.start();
        controlPlane.start();
        awaitInitialState();
        callerServer.start();
        scheduleReview();
        capacityReporter.start(scheduler);
        LogEvent.STARTED.info(callerPort(), adminPort());
    }

    private void scheduleReview() {
        // Before the review, so that an error in it does not end the series.
        scheduler.schedule(
                () -> {
                    scheduleReview();
                    callerConnections.review();
                },
                REVIEW_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Delays the handling of calls until the initial state is known, up to {@link #STARTUP_WAIT_MILLIS}.
     *
     * <p>Calls that cannot get a response yet would take CPU time from the initialization that they wait for.
     */
    private void awaitInitialState() throws InterruptedException {
        if (!hasConfigurationSource) {
            return;
        }
        try {
            controlPlane.ready().get(STARTUP_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LogEvent.ACCEPTING_BEFORE_READY.info(STARTUP_WAIT_MILLIS);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the control plane failed before the daemon became ready", e);
        }
    }

    /** Returns the bound port of the caller address, which differs from the settings if they specify port 0. */
    public int callerPort() {
        return port(callerServer);
    }

    /** Returns the bound port of the admin address, which differs from the settings if they specify port 0. */
    public int adminPort() {
        return port(adminServer);
    }

    private static int port(Server server) {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    private void closeCallerConnector() {
        callerConnector().close();
    }

    private CallerConnector callerConnector() {
        return (CallerConnector) callerServer.getConnectors()[0];
    }

    /**
     * Shuts down gracefully.
     *
     * <p>The future completes when the last call and, after it, the handover of the tokens have ended. The admin address
     * responds until {@link #close}.
     */
    public CompletableFuture<Void> stop() {
        var unused = controlPlane.announceStop();
        return gracefulShutdown.start().thenCompose(lastCallEnded -> handOverTokens());
    }

    /**
     * Hands the tokens over to a peer.
     *
     * <p>A failed handover is logged and does not fail the shutdown; every daemon then reports the outcome "unknown" for
     * these tokens.
     */
    private CompletableFuture<Void> handOverTokens() {
        return tokens.handOver(controlPlane.handoverTransport()).exceptionally(failure -> null);
    }

    /** Returns whether the graceful shutdown has reached the point from which new calls are refused. */
    boolean refusesCalls() {
        return callsInProgress.closed();
    }

    /** Stops immediately and aborts calls in progress. */
    @Override
    public void close() throws Exception {
        callerServer.stop();
        controlPlane.close();
        adminServer.stop();
        httpClient.stop();
        scheduler.stop();
    }
}
