package org.sardinepost.core.token;

/**
 * A step of a simulation. The numbers select a daemon, caller request, message or dispatch, modulo the number of
 * candidates.
 */
record FuzzStep(Kind kind, int first, int second) {
    enum Kind {
        ISSUE(4),
        SEND(14),
        DELIVER(24),
        WRITE(8),
        EXECUTE(8),
        RESPOND(7),
        NOT_RUN(4),
        UNKNOWN(2),
        REPLACE_DAEMON(1),
        PAUSE(1),
        RESUME(2),
        CUT_LINK(1),
        RESTORE_LINK(2),
        FREEZE(1),
        EXPORT_IMAGE(4),
        DELIVER_IMAGE(5),
        ANNOUNCE(4),
        ADVANCE_CLOCK(2);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }
}
