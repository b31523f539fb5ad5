package org.sardinepost.daemon;

import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.Service;

/** Creates the dispatcher of each service. */
final class DispatcherFactory {
    private DispatcherFactory() {}

    /** Waiting requests are part of the held bytes, so one service may let at most a quarter of them wait. */
    static Function<Service, Dispatcher> of(DaemonSettings settings) {
        SecureRandom seeds = new SecureRandom();
        return service -> new JointLoadDispatcher(
                new DispatcherSettings(service.slots(), settings.failureDomain(), settings.heldBytes() / 4),
                new SplittableRandom(seeds.nextLong()));
    }
}
