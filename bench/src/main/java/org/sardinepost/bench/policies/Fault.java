package org.sardinepost.bench.policies;

/** What happens to server 0, or to the daemons, when the measured time begins. */
enum Fault {
    NONE,
    /** Server 0 works five times slower. */
    STRAGGLER,
    /** Server 0 answers every call at once with an error. */
    FAIL_FAST,
    /** Server 0 joins, four times slower at first and at full speed after two seconds. */
    COLD_START,
    /** Messages between daemons are lost. */
    DAEMONS_CUT_OFF,
    /** Ten times the arrivals for 200 ms. */
    BURST
}
