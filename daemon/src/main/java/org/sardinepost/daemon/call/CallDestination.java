package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.core.text.Route;
import org.sardinepost.core.text.Service;

/**
 * The service that receives a call, and the rules of its route.
 *
 * @param registered the service
 * @param route the matching route; empty if the host selected the service directly
 */
public record CallDestination(RegisteredService registered, Optional<Route> route) {
    static CallDestination ofService(RegisteredService registered) {
        return new CallDestination(registered, Optional.empty());
    }

    static CallDestination ofRoute(RegisteredService registered, Route route) {
        return new CallDestination(registered, Optional.of(route));
    }

    public Service service() {
        return registered.service();
    }

    /** Returns the maximum time until the caller receives a response. */
    Duration timeLimit() {
        return route.map(Route::timeLimit).orElseGet(() -> service().deadline());
    }

    /** Returns the time within which the caller should receive a response. */
    Duration targetLatency() {
        return route.map(Route::targetLatency).orElseGet(() -> service().deadline());
    }

    /** Returns the name of the route, by which calls of similar cost are grouped; empty if there is no route. */
    String routeName() {
        return route.map(Route::name).orElse("");
    }

    /** Returns the priority among the calls of the service; 0 is the highest. */
    int priority() {
        return route.map(Route::priority).orElse(0);
    }

    /** Returns how often the call may be sent to an upstream. */
    int maxAttempts(CallContext context) {
        return route.map(matchedRoute -> Math.min(matchedRoute.attempts(), context.attemptsLeft()))
                .orElse(context.attemptsLeft());
    }
}
