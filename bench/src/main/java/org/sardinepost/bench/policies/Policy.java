package org.sardinepost.bench.policies;

import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.sardinepost.core.routing.Dispatcher;

/**
 * A way to dispatch, with the information that it gets.
 *
 * @param dispatcher makes the dispatcher of one daemon
 * @param loadOnAnswers whether answers carry the server's load
 * @param queueLimit calls that a server keeps waiting before it refuses further ones
 * @param peerIntervalNanos time between the batches that a daemon sends to each peer; 0 for none
 */
record Policy(
        String name,
        DispatcherFactory dispatcher,
        boolean loadOnAnswers,
        ToIntFunction<Deployment> queueLimit,
        long peerIntervalNanos) {
    /** Makes the dispatcher of one daemon. */
    interface DispatcherFactory {
        Dispatcher create(Simulation simulation, int daemon, SplittableRandom random);
    }
}
