package org.sardinepost.bench.policies;

/** The fault that is injected when the measurement period begins. */
enum Fault {
    NONE,
    /** Server 0 processes calls five times slower. */
    STRAGGLER,
    /** Server 0 immediately returns an error for every call. */
    FAIL_FAST,
    /** Server 0 joins at a quarter of its speed and reaches full speed after two seconds. */
    COLD_START,
    /** Messages between daemons are lost. */
    DAEMONS_CUT_OFF,
    /** The arrival rate is ten times higher for 200 ms. */
    BURST
}
