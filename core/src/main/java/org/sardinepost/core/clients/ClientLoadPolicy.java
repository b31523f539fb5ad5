package org.sardinepost.core.clients;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides what a daemon withholds from clients that make it hold much and do not read.
 *
 * <p>The load that it is for: clients that pipeline thousands of requests and never read the responses, that begin heads
 * which they never complete, and that open as many connections as there are descriptors. The steps, in the order in which
 * they take effect: send no requests of the connection ahead, read no more of its heads, refuse its requests, pause between
 * them, and last close it. Progress is the criterion and not size: a client that goes on reading keeps its connection
 * however much it holds. Stateless.
 */
public final class ClientLoadPolicy {
    /** A client that has not read for this part of the stall time gets the responses to its further requests later. */
    private static final int RECALL_DIVISOR = 4;

    /**
     * How much of a head is read while memory is short. Most heads are shorter, so that their requests can be refused with a
     * response.
     */
    private static final int SHORT_HEAD_BYTES = 1 << 10;

    private final ClientLimits limits;

    public ClientLoadPolicy(ClientLimits limits) {
        this.limits = limits;
    }

    /** Returns how many more bytes of a head may be read after a number of them. */
    public int headAllowance(AccountState state, int readBytes) {
        return limits.callsShort(state) ? Math.max(0, SHORT_HEAD_BYTES - readBytes) : Integer.MAX_VALUE;
    }

    /** Returns whether a connection may have further requests sent, or their bytes read, before their turn. */
    public boolean mayWorkAhead(AccountState state, ConnectionLoad<?> load) {
        return limits.leavesRoomAhead(state) && load.waitingSinceNanos().isEmpty() && !limits.exceedsShare(load);
    }

    /**
     * Returns whether a request is admitted in its turn. A connection with no other call has a place for it as long as the
     * account has one, whatever its size. Bodies do not count here, since large responses wait for the account by themselves.
     * Requests that were sent ahead leave a part of the account to those of callers that wait for each response.
     *
     * @param sentAhead whether the request arrived before the response to an earlier one of its connection was ready
     */
    public boolean mayAdmit(AccountState state, ConnectionLoad<?> load, boolean sentAhead) {
        if (sentAhead && limits.callsShort(state)) {
            return false;
        }
        return state.callBytes() < limits.callBytes() && (load.calls() == 0 || !limits.exceedsCallShare(load));
    }

    /**
     * Returns for how long no request of a connection is handled after one was refused with 503. It is for a connection
     * on which further requests had arrived by then: each of them would be refused as well, as fast as the daemon can.
     *
     * @param refusals the number of such refusals in a row, including this one
     */
    public long pauseNanos(int refusals) {
        return limits.pauseNanos(refusals);
    }

    /**
     * Returns whether a stream of HTTP/2 is admitted before its request is handled. One that is not is reset with the promise that
     * its request does not run. The refusal of a request takes a stream until the client has read it, so only the single stream
     * of a connection is refused with a response.
     *
     * @param streams the number of other streams of the connection
     */
    public boolean mayOpenStream(AccountState state, ConnectionLoad<?> load, int streams) {
        return streams == 0 || (state.callBytes() < limits.callBytes() && !limits.exceedsCallShare(load));
    }

    /**
     * Returns whether the calls that were sent ahead for a connection are to be cancelled. They hold upstream slots and memory
     * for responses that cannot be written; they are idempotent, so they can be sent again in their turn. While memory is
     * short, this holds for every connection: the responses ahead could otherwise fill the account while those before them
     * wait for it.
     */
    public boolean recallsCallsAhead(AccountState state, ConnectionLoad<?> load, long nowNanos) {
        return limits.isShort(state) || load.waitedFor(limits.stallNanos() / RECALL_DIVISOR, nowNanos);
    }

    /**
     * Returns the connections to close while memory is short: stalled ones, beginning with the one that has held the most for
     * the longest time, until calls can be sent ahead again.
     */
    public <C> List<C> stalledToClose(AccountState state, Collection<ConnectionLoad<C>> loads, long nowNanos) {
        List<C> closed = new ArrayList<>();
        if (!limits.isShort(state)) {
            return closed;
        }
        List<ConnectionLoad<C>> stalled = loads.stream()
                .filter(load -> load.heldBytes() > 0 && load.waitedFor(limits.stallNanos(), nowNanos))
                .sorted(Comparator.<ConnectionLoad<C>>comparingDouble(
                                load -> (double) load.heldBytes() * waitedNanos(load, nowNanos))
                        .reversed())
                .toList();
        AccountState remaining = state;
        for (ConnectionLoad<C> load : stalled) {
            if (limits.leavesRoomAhead(remaining)) {
                break;
            }
            closed.add(load.connection());
            remaining = remaining.minus(load);
        }
        return closed;
    }

    /**
     * Returns the connection to close for one more: an idle one, or else a stalled one, in both cases the one that has been so
     * for the longest time. Empty if all others are in use; then the new one is closed.
     */
    public <C> Optional<C> closedForNew(Collection<ConnectionLoad<C>> others, long nowNanos) {
        Optional<ConnectionLoad<C>> idle = others.stream()
                .filter(ConnectionLoad::idle)
                .max(Comparator.comparingLong(load -> nowNanos - load.lastUsedNanos()));
        return idle.or(() -> others.stream()
                        .filter(load -> load.waitedFor(limits.stallNanos(), nowNanos))
                        .max(Comparator.comparingLong(load -> waitedNanos(load, nowNanos))))
                .map(ConnectionLoad::connection);
    }

    /** Returns whether a number of connections, with the new one, is within the limit. */
    public boolean fits(int connections) {
        return connections <= limits.connections();
    }

    private static long waitedNanos(ConnectionLoad<?> load, long nowNanos) {
        return nowNanos - load.waitingSinceNanos().orElse(nowNanos);
    }
}
