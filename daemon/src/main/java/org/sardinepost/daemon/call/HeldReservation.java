package org.sardinepost.daemon.call;

/**
 * The held bytes of one call: its request and the answer.
 *
 * <p>The caller's side and each running dispatch are holders, since a dispatch may outlive its caller. The bytes are given
 * back when the last holder releases them.
 */
final class HeldReservation {
    private final HeldBytes account;
    private long bytes;
    private int holders = 1;

    HeldReservation(HeldBytes account) {
        this.account = account;
    }

    synchronized boolean tryAddForRequest(long added) {
        return keep(added, holders > 0 && account.tryAddForRequest(added));
    }

    synchronized boolean tryAddForAnswer(long added) {
        return keep(added, holders > 0 && account.tryAddForAnswer(added));
    }

    private boolean keep(long added, boolean granted) {
        if (granted) {
            bytes += added;
        }
        return granted;
    }

    /** Gives back the bytes of an answer that is dropped. */
    synchronized void giveBack(long dropped) {
        if (holders > 0) {
            bytes -= dropped;
            account.remove(dropped);
        }
    }

    synchronized void retain() {
        holders++;
    }

    synchronized void release() {
        holders--;
        if (holders == 0) {
            account.remove(bytes);
            bytes = 0;
        }
    }
}
