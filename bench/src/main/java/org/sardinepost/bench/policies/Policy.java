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
 * @param measuring what the measuring budget is spent on
 * @param messagesPerSecond the measuring budget over all daemons
 */
record Policy(
        String name,
        DispatcherFactory dispatcher,
        boolean loadOnAnswers,
        ToIntFunction<Deployment> queueLimit,
        Measuring measuring,
        int messagesPerSecond) {
    /** What a measuring message is. */
    enum Measuring {
        NONE,
        /** A daemon sends its calls in progress to one peer. */
        PEERS,
        /** A daemon asks one server for its load. */
        PROBES
    }

    /** Makes the dispatcher of one daemon. */
    interface DispatcherFactory {
        Dispatcher create(Simulation simulation, int daemon, SplittableRandom random);
    }
}
