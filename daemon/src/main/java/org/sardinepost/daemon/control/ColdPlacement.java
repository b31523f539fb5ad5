package org.sardinepost.daemon.control;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.sardinepost.core.membership.ColdPlacementPolicy;
import org.sardinepost.core.membership.FleetView;
import org.sardinepost.core.routing.ColdRate;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Whether this daemon may send calls to cold upstreams.
 *
 * <p>The control thread updates it, as long as the services text has a service whose upstreams can be cold. {@link
 * #mayPlace} and {@link #connectedToMajority} are thread-safe.
 */
public final class ColdPlacement {
    private final ColdPlacementPolicy policy;
    private final Clock clock;
    private final Supplier<FleetView> fleet;
    private final ColdTolerance tolerance;
    private final Set<String> reportedServices = new HashSet<>();
    private volatile boolean needed;
    private boolean connectedToMajority = true;

    ColdPlacement(Clock clock, Supplier<FleetView> fleet, ColdTolerance tolerance) {
        this.policy = new ColdPlacementPolicy(clock.nanos());
        this.clock = clock;
        this.fleet = fleet;
        this.tolerance = tolerance;
    }

    void textApplied(ServicesText text) {
        needed = text.services().stream().anyMatch(service -> service.warmUp().isPresent());
        text.services().forEach(this::reportLowLimit);
        tick();
    }

    void tick() {
        if (!needed) {
            return;
        }
        policy.update(fleet.get(), clock.nanos());
        if (policy.started(clock.nanos()) && policy.connectedToMajority() != connectedToMajority) {
            connectedToMajority = policy.connectedToMajority();
            (connectedToMajority ? LogEvent.COLD_PLACEMENT_RESUMED : LogEvent.COLD_PLACEMENT_SUSPENDED).info();
        }
    }

    /** Logs once for each service that its cold upstreams get no calls. */
    private void reportLowLimit(Service service) {
        boolean tooLow = service.warmUp()
                .map(warmUp -> new ColdRate(warmUp.callsPerSecond(), tolerance))
                .filter(ColdRate::tooLow)
                .isPresent();
        if (!tooLow) {
            reportedServices.remove(service.name());
        } else if (reportedServices.add(service.name())) {
            LogEvent.COLD_LIMIT_TOO_LOW.warn(service.name());
        }
    }

    /** Returns whether the services text has a service whose upstreams can be cold. */
    public boolean needed() {
        return needed;
    }

    /** Returns whether this daemon may send calls to the cold upstreams of a service. */
    public boolean mayPlace(String service, long nowNanos) {
        return policy.mayPlace(service, nowNanos);
    }

    /** Returns whether this daemon is connected to more than half of the daemons that it knows. */
    public boolean connectedToMajority() {
        return needed && policy.connectedToMajority();
    }
}
