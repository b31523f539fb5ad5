package org.sardinepost.daemon.token;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sardinepost.core.token.TokenTable;

/** Hands all held tokens over at the planned stop. */
public final class TokenHandover {
    /** Sends the image of one incarnation; completes when a peer has adopted it. */
    @FunctionalInterface
    public interface Transport {
        /**
         * Sends the frames in order.
         *
         * <p>A repeat after a lost acknowledgement goes only to the same incarnation of the same peer. Another receiver,
         * even a new daemon at the same address, could dispatch a request that the first one has dispatched.
         */
        CompletableFuture<Void> send(long incarnation, List<byte[]> frames);
    }

    private final TokenTable table;
    private final LongSupplier nanoClock;
    private final Transport transport;

    public TokenHandover(TokenTable table, LongSupplier nanoClock, Transport transport) {
        this.table = table;
        this.nanoClock = nanoClock;
        this.transport = transport;
    }

    /**
     * Ends all dispatch, waits for the last one and sends the tokens.
     *
     * <p>Fails if an incarnation was not adopted; the outcome of its tokens is unknown from then on.
     */
    public CompletableFuture<Void> run() {
        return table.freeze().thenCompose(idle -> sendAll());
    }

    private CompletableFuture<Void> sendAll() {
        CompletableFuture<?>[] sends =
                table.heldIncarnations().stream().map(this::send).toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(sends);
    }

    private CompletableFuture<Void> send(long incarnation) {
        List<byte[]> frames = table.image(incarnation, nanoClock.getAsLong());
        return transport.send(incarnation, frames).thenRun(() -> table.handedOver(incarnation));
    }
}
