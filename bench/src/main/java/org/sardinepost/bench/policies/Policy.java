package org.sardinepost.bench.policies;

import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.sardinepost.core.routing.Dispatcher;

/**
 * A dispatch policy and the load information that is available to it.
 *
 * @param dispatcherFactory creates the dispatcher of each daemon
 * @param loadInResponses whether responses contain the load of the server
 * @param serverQueueLimit maximum number of calls that a server queues before it refuses further calls
 * @param measurementType the measurement messages that the measuring budget is spent on
 * @param messagesPerSecond the measuring budget of all daemons together
 */
record Policy(
        String name,
        DispatcherFactory dispatcherFactory,
        boolean loadInResponses,
        ToIntFunction<Deployment> serverQueueLimit,
        MeasurementType measurementType,
        int messagesPerSecond) {
    /** The kind of measurement message. */
    enum MeasurementType {
        NONE,
        /** A daemon sends the number of its calls in progress per upstream to one peer. */
        PEER_LOADS,
        /** A daemon requests the load of one server. */
        PROBES
    }

    /** Creates the dispatcher of one daemon. */
    interface DispatcherFactory {
        Dispatcher create(Simulation simulation, int daemonIndex, SplittableRandom random);
    }
}
