package org.sardinepost.bench.policies;

import java.util.List;
import java.util.stream.IntStream;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** One service of section 1 of the design: its servers, the daemons before them and the network between them. */
record Deployment(String name, int servers, int slots, int daemons, long crossDomainNanos) {
    static final Deployment NOVOTNY_ORDER_STATUS = new Deployment("novotny order status", 10, 3, 17, 1_500_000);
    static final Deployment PIECE_PERDUE_CATALOGUE = new Deployment("piece perdue catalogue", 15, 4, 17, 1_000_000);

    static final double MEAN_SERVICE_NANOS = 10_000_000;

    private static final int DOMAINS = 3;
    private static final long SAME_DOMAIN_NANOS = 100_000;
    private static final int FIRST_PORT = 7001;

    static String domain(int index) {
        return "domain-" + index % DOMAINS;
    }

    long oneWayNanos(int daemon, int server) {
        return daemon % DOMAINS == server % DOMAINS ? SAME_DOMAIN_NANOS : crossDomainNanos;
    }

    List<Upstream> upstreams() {
        return IntStream.range(0, servers)
                .mapToObj(i -> new Upstream(new UpstreamId("10.0.0.1", FIRST_PORT + i), domain(i)))
                .toList();
    }

    static int server(UpstreamId id) {
        return id.port() - FIRST_PORT;
    }

    /** Arrivals per second that keep this share of all slots busy. */
    double arrivalsPerSecond(double load) {
        return load * servers * slots * 1e9 / MEAN_SERVICE_NANOS;
    }
}
