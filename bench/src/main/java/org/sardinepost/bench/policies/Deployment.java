package org.sardinepost.bench.policies;

import java.util.List;
import java.util.stream.IntStream;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/**
 * A simulated service with its servers, the daemons in front of them and the network delays between them.
 *
 * <p>The predefined deployments are services of section 1 of the design.
 */
record Deployment(String name, int servers, int slots, int daemons, long crossDomainDelayNanos) {
    static final Deployment NOVOTNY_ORDER_STATUS = new Deployment("novotny order status", 10, 3, 17, 1_500_000);
    static final Deployment PIECE_PERDUE_CATALOGUE = new Deployment("piece perdue catalogue", 15, 4, 17, 1_000_000);

    static final double MEAN_SERVICE_TIME_NANOS = 10_000_000;

    private static final int FAILURE_DOMAINS = 3;
    private static final long SAME_DOMAIN_DELAY_NANOS = 100_000;
    private static final int FIRST_PORT = 7001;

    static String failureDomain(int index) {
        return "domain-" + index % FAILURE_DOMAINS;
    }

    long oneWayDelayNanos(int daemon, int server) {
        return daemon % FAILURE_DOMAINS == server % FAILURE_DOMAINS ? SAME_DOMAIN_DELAY_NANOS : crossDomainDelayNanos;
    }

    List<Upstream> upstreams() {
        return IntStream.range(0, servers)
                .mapToObj(i -> new Upstream(new UpstreamId("10.0.0.1", FIRST_PORT + i), failureDomain(i)))
                .toList();
    }

    static int serverIndex(UpstreamId id) {
        return id.port() - FIRST_PORT;
    }

    /** Returns the arrival rate that keeps the given share of all slots busy. */
    double arrivalsPerSecond(double load) {
        return load * servers * slots * 1e9 / MEAN_SERVICE_TIME_NANOS;
    }
}
