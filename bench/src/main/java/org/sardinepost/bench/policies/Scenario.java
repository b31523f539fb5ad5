package org.sardinepost.bench.policies;

/** One load on one deployment with at most one fault. */
record Scenario(Deployment deployment, ServiceTime serviceTime, double load, Fault fault) {
    static final long FAULT_NANOS = 2_000_000_000L;
    static final long END_NANOS = 32_000_000_000L;
    static final long DEADLINE_NANOS = 2_000_000_000L;

    private static final long BURST_NANOS = 200_000_000;
    private static final double BURST_FACTOR = 10;
    private static final double SLOW_FACTOR = 5;
    private static final double COLD_FACTOR = 4;
    private static final double WARM_UP_NANOS = 2e9;

    double arrivalsPerSecond(long nowNanos) {
        boolean burst = fault == Fault.BURST && nowNanos >= FAULT_NANOS && nowNanos < FAULT_NANOS + BURST_NANOS;
        return deployment.arrivalsPerSecond(load) * (burst ? BURST_FACTOR : 1);
    }

    /** How many times slower than usual a server works. */
    double slowness(int server, long nowNanos) {
        if (server != 0 || nowNanos < FAULT_NANOS) {
            return 1;
        }
        return switch (fault) {
            case STRAGGLER -> SLOW_FACTOR;
            case COLD_START -> Math.max(1, COLD_FACTOR - (COLD_FACTOR - 1) * (nowNanos - FAULT_NANOS) / WARM_UP_NANOS);
            default -> 1;
        };
    }

    boolean failing(int server, long nowNanos) {
        return fault == Fault.FAIL_FAST && server == 0 && nowNanos >= FAULT_NANOS;
    }

    boolean cutOff(long nowNanos) {
        return fault == Fault.DAEMONS_CUT_OFF && nowNanos >= FAULT_NANOS;
    }

    /** Servers known before the measured time. */
    int firstServer() {
        return fault == Fault.COLD_START ? 1 : 0;
    }

    @Override
    public String toString() {
        return deployment.name() + ", " + serviceTime + ", load " + Math.round(load * 100) + "%, " + fault;
    }
}
