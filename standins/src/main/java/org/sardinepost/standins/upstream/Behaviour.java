package org.sardinepost.standins.upstream;

import java.time.Duration;

/**
 * How a stand-in upstream serves requests.
 *
 * @param serviceTime mean of the exponentially distributed service time
 * @param failing answers 500 at once
 * @param draining announces that it is leaving and goes on serving
 * @param queueLimit waiting requests above which it refuses before starting
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
