package org.sardinepost.daemon.placement;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * Coordinates dispatches across daemons: requests dispatches from coordinators, and grants dispatches to other daemons
 * while this daemon is the coordinator.
 *
 * <p>The coordinator of a service is the daemon that dispatches the calls of all daemons to that service.
 */
public final class Placement {
    private final PlacementPeers peers;
    private final CoordinatorSelector selector;
    private final PlacementClient client;
    private final PlacementServer server;

    /**
     * Creates the client and the server side of placement.
     *
     * @param dispatchers returns the dispatcher for the calls of all daemons to a service
     * @param control executor of the control thread, on which peer messages are handled
     */
    public Placement(
            PlacementPeers peers,
            Function<String, Optional<TimedCentralDispatcher>> dispatchers,
            Executor control,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.peers = peers;
        this.selector = new CoordinatorSelector(peers);
        this.client = new PlacementClient(peers, selector, scheduler, nanoClock);
        this.server = new PlacementServer(dispatchers, peers, control, nanoClock);
    }

    /** Returns the current coordinator of a service; empty if it is this daemon. */
    Optional<UpstreamId> coordinator(String service, long nowNanos) {
        return Optional.of(selector.coordinator(service, nowNanos))
                .filter(coordinator -> !coordinator.equals(peers.localAddress()));
    }

    /**
     * Requests a dispatch; the future fails with {@link CoordinatorUnavailableException} if the coordinator does not
     * respond.
     */
    CompletableFuture<Dispatch> requestDispatch(
            UpstreamId coordinator, String service, DispatchRequest request, long nowNanos) {
        return client.requestDispatch(coordinator, service, request, nowNanos);
    }

    /** Handles a peer message about placement. Runs on the control thread. */
    public void handleMessage(UpstreamId peer, long incarnation, PeerMessage message) {
        switch (message.getBodyCase()) {
            case PLACE_REQUEST -> server.handleRequest(peer, incarnation, message.getPlaceRequest());
            case PLACE_ANSWER -> client.handleResponse(peer, message.getPlaceAnswer());
            case PLACE_END -> server.handleEnd(incarnation, message.getPlaceEnd());
            default -> throw new IllegalArgumentException("not a placement message: " + message.getBodyCase());
        }
    }

    /** Fails the requests that are pending at a peer whose connection ended. Runs on the control thread. */
    public void peerDisconnected(UpstreamId peer) {
        client.coordinatorDisconnected(peer);
    }

    /** Releases the dispatches of a peer process that stopped or was disconnected. Runs on the control thread. */
    public void releaseIncarnation(long incarnation) {
        server.releaseIncarnation(incarnation);
    }

    /** Releases the dispatches of calls whose deadline has long passed. Runs on the control thread. */
    public void releaseOverdue() {
        server.releaseOverdue();
    }

    /** Returns the number of calls that were dispatched locally because the coordinator did not respond in time. */
    public long coordinatorTimeouts() {
        return client.timeouts();
    }

    /** Returns the number of calls of other daemons that hold a dispatch from this daemon or wait for one. */
    public int remoteDispatches() {
        return server.activeCalls();
    }
}
