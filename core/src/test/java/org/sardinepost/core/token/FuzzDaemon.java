package org.sardinepost.core.token;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.sardinepost.core.routing.UpstreamId;

/** A simulated daemon incarnation with its token table, its own clock and the known addresses of other incarnations. */
final class FuzzDaemon {
    static final int ENTRIES = 6;
    static final int RESPONSE_BYTES = 900;
    static final Duration LIFETIME = Duration.ofMinutes(10);

    final int slot;
    final long incarnation;
    final TokenTable table;
    final Map<Long, Integer> slotOfIncarnation = new HashMap<>();
    boolean alive = true;
    boolean paused;
    long handoverTarget;
    private final long clockOffset;

    FuzzDaemon(int slot, long incarnation) {
        this.slot = slot;
        this.incarnation = incarnation;
        Random random = new Random(incarnation);
        byte[] secret = new byte[IncarnationKey.LENGTH_BYTES];
        random.nextBytes(secret);
        this.clockOffset = random.nextLong();
        TokenIssuer issuer =
                new TokenIssuer(new UpstreamId("127.0.0.1", 9000 + slot), incarnation, new IncarnationKey(secret));
        this.table = new TokenTable(issuer, new TokenTableLimits(ENTRIES, ENTRIES, RESPONSE_BYTES, LIFETIME));
    }

    boolean running() {
        return alive && !paused;
    }

    long clock(long simulationNanos) {
        return simulationNanos + clockOffset;
    }
}
