package org.sardinepost.core.token;

/** A dispatch by one daemon. What was written may be executed later, even after the daemon has ended. */
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
