package org.sardinepost.bench.policies;

/** A simulated deployment with its load, its service times and at most one fault. */
record Scenario(Deployment deployment, ServiceTime serviceTime, double load, Fault fault) {
    static final long FAULT_START_NANOS = 2_000_000_000L;
    static final long END_NANOS = 32_000_000_000L;
    static final long DEADLINE_NANOS = 2_000_000_000L;

    private static final long BURST_DURATION_NANOS = 200_000_000;
    private static final double BURST_FACTOR = 10;
    private static final double STRAGGLER_SLOWDOWN = 5;
    private static final double COLD_START_SLOWDOWN = 4;
    private static final double COLD_START_DURATION_NANOS = 2e9;

    double arrivalsPerSecond(long nowNanos) {
        boolean burst = fault == Fault.BURST
                && nowNanos >= FAULT_START_NANOS
                && nowNanos < FAULT_START_NANOS + BURST_DURATION_NANOS;
        return deployment.arrivalsPerSecond(load) * (burst ? BURST_FACTOR : 1);
    }

    /** Returns the factor by which the service times of a server are currently increased. */
    double slowdown(int serverIndex, long nowNanos) {
        if (serverIndex != 0 || nowNanos < FAULT_START_NANOS) {
            return 1;
        }
        return switch (fault) {
            case STRAGGLER -> STRAGGLER_SLOWDOWN;
            case COLD_START -> Math.max(
                    1,
                    COLD_START_SLOWDOWN
                            - (COLD_START_SLOWDOWN - 1) * (nowNanos - FAULT_START_NANOS) / COLD_START_DURATION_NANOS);
            default -> 1;
        };
    }

    boolean isFailing(int serverIndex, long nowNanos) {
        return fault == Fault.FAIL_FAST && serverIndex == 0 && nowNanos >= FAULT_START_NANOS;
    }

    boolean losesPeerMessages(long nowNanos) {
        return fault == Fault.DAEMONS_CUT_OFF && nowNanos >= FAULT_START_NANOS;
    }

    /** Returns the index of the first server that the daemons know before the measurement period. */
    int firstInitialServer() {
        return fault == Fault.COLD_START ? 1 : 0;
    }

    @Override
    public String toString() {
        return deployment.name() + ", " + serviceTime + ", load " + Math.round(load * 100) + "%, " + fault;
    }
}
