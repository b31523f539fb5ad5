package org.sardinepost.core.token;

/** One step of a run; the numbers select a daemon, order, message or dispatch, modulo what exists. */
record FuzzStep(Kind kind, int first, int second) {
    enum Kind {
        ISSUE(4),
        SEND(14),
        DELIVER(24),
        WRITE(8),
        EXECUTE(8),
        ANSWER(7),
        NOT_RUN(4),
        UNKNOWN(2),
        KILL(1),
        PAUSE(1),
        RESUME(2),
        CUT(1),
        HEAL(2),
        FREEZE(1),
        EXPORT(4),
        IMPORT(5),
        HELLO(4),
        TICK(2);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }
}
