package org.sardinepost.core.token;

/** A dispatch by one daemon. A written request may be executed later, even after the daemon has stopped. */
final class FuzzDispatch {
    final FuzzDaemon daemon;
    final FuzzSend send;
    final DispatchPermit permit;
    boolean written;
    boolean executed;
    boolean ended;

    FuzzDispatch(FuzzDaemon daemon, FuzzSend send, DispatchPermit permit) {
        this.daemon = daemon;
        this.send = send;
        this.permit = permit;
    }

    boolean open() {
        return daemon.running() && !ended;
    }
}
