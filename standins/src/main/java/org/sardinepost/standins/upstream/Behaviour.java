package org.sardinepost.standins.upstream;

import java.time.Duration;

/**
 * The configurable behaviour of a stand-in upstream.
 *
 * @param serviceTime mean of the exponentially distributed service time
 * @param failing whether requests get a response with status 500 without being executed
 * @param draining whether responses announce that the upstream is leaving; it continues to serve requests
 * @param queueLimit maximum number of queued requests; further requests are refused without being started
 */
public record Behaviour(Duration serviceTime, boolean failing, boolean draining, int queueLimit) {
    public Behaviour withServiceTime(Duration value) {
        return new Behaviour(value, failing, draining, queueLimit);
    }

    public Behaviour withFailing(boolean value) {
        return new Behaviour(serviceTime, value, draining, queueLimit);
    }

    public Behaviour withDraining(boolean value) {
        return new Behaviour(serviceTime, failing, value, queueLimit);
    }
}
