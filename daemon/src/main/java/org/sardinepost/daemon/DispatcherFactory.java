package org.sardinepost.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.routing.CentralDispatcher;
import org.sardinepost.core.routing.ClosedUpstreams;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.LoadProbe;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.PlacementMode;
import org.sardinepost.core.text.Service;
import org.sardinepost.daemon.call.UpstreamObserver;
import org.sardinepost.daemon.call.UpstreamProber;
import org.sardinepost.daemon.control.ColdPlacement;
import org.sardinepost.daemon.placement.Placement;
import org.sardinepost.daemon.placement.SharedDispatcher;
import org.sardinepost.daemon.placement.TimedCentralDispatcher;

/** Creates the dispatcher of each service. */
final class DispatcherFactory {
    private final DaemonSettings settings;
    private final Supplier<Placement> placement;
    private final UpstreamProber prober;
    private final Supplier<UpstreamObserver> observer;
    private final Supplier<ColdPlacement> coldPlacement;
    private final Scheduler scheduler;
    private final SecureRandom seedSource = new SecureRandom();

    private DispatcherFactory(
            DaemonSettings settings,
            Supplier<Placement> placement,
            UpstreamProber prober,
            Supplier<UpstreamObserver> observer,
            Supplier<ColdPlacement> coldPlacement,
            Scheduler scheduler) {
        this.settings = settings;
        this.placement = placement;
        this.prober = prober;
        this.observer = observer;
        this.coldPlacement = coldPlacement;
        this.scheduler = scheduler;
    }

    /**
     * Returns the factory function of a daemon. The placement, the observer and the placement on cold upstreams are
     * requested when the first service is registered.
     */
    static Function<Service, Dispatcher> of(
            DaemonSettings settings,
            Supplier<Placement> placement,
            UpstreamProber prober,
            Supplier<UpstreamObserver> observer,
            Supplier<ColdPlacement> coldPlacement,
            Scheduler scheduler) {
        return new DispatcherFactory(settings, placement, prober, observer, coldPlacement, scheduler)::create;
    }

    private Dispatcher create(Service service) {
        // Queued requests count towards the held bytes, so a service may use at most a quarter of them for its queue.
        DispatcherSettings dispatcherSettings =
                new DispatcherSettings(service.slots(), settings.failureDomain(), settings.heldBytes() / 4);
        ClosedUpstreams closedUpstreams = new ClosedUpstreams(newRandom());
        JointLoadDispatcher localDispatcher = new JointLoadDispatcher(dispatcherSettings, newRandom(), closedUpstreams);
        if (settings.placement() == PlacementMode.OWN) {
            return localDispatcher;
        }
        TimedCentralDispatcher centralDispatcher = new TimedCentralDispatcher(
                createCentralDispatcher(service, dispatcherSettings, closedUpstreams), scheduler, System::nanoTime);
        return new SharedDispatcher(
                service.name(), placement.get(), centralDispatcher, localDispatcher, closedUpstreams, System::nanoTime);
    }

    private CentralDispatcher createCentralDispatcher(
            Service service, DispatcherSettings dispatcherSettings, ClosedUpstreams closedUpstreams) {
        AtomicReference<CentralDispatcher> dispatcher = new AtomicReference<>();
        UpstreamProber.Listener listener = new UpstreamProber.Listener() {
            @Override
            public void loadReported(Upstream upstream, ReportedLoad load) {
                dispatcher.get().recordProbeResponse(upstream.id(), load, System.nanoTime());
            }

            @Override
            public void leavingReported(Upstream upstream) {
                observer.get().leaving(upstream.id(), upstream.instance());
            }

            @Override
            public void retryAfterReported(Upstream upstream, Duration delay) {
                closedUpstreams.record(upstream.id(), upstream.instance(), delay, System.nanoTime());
            }

            @Override
            public void warmUpReported(Upstream upstream, Duration remaining) {
                dispatcher.get().recordWarmUpReport(upstream, remaining, System.nanoTime());
            }
        };
        Optional<LoadProbe> probe = service.healthPath().map(path -> upstream -> {
            // A probe is a request too; the upstream then counts as one that did not answer.
            if (!closedUpstreams.isClosed(upstream.id(), System.nanoTime())) {
                prober.probe(upstream, path, listener);
            }
        });
        ColdPlacement placementOnCold = coldPlacement.get();
        dispatcher.set(new CentralDispatcher(
                dispatcherSettings,
                newRandom(),
                probe,
                nowNanos -> placementOnCold.mayPlace(service.name(), nowNanos)));
        return dispatcher.get();
    }

    private SplittableRandom newRandom() {
        return new SplittableRandom(seedSource.nextLong());
    }
}
