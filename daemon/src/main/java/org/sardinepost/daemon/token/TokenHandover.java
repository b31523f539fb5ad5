package org.sardinepost.daemon.token;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.daemon.control.HandoverTransport;

/** Hands over all held tokens at the planned stop. */
public final class TokenHandover {
    private final TokenTable table;
    private final LongSupplier nanoClock;
    private final HandoverTransport transport;

    public TokenHandover(TokenTable table, LongSupplier nanoClock, HandoverTransport transport) {
        this.table = table;
        this.nanoClock = nanoClock;
        this.transport = transport;
    }

    /**
     * Stops new dispatches, waits for the last one in progress and sends the tokens.
     *
     * <p>Fails if an incarnation was not adopted; from then on, the outcome of its tokens is unknown.
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
        List<byte[]> frames = table.exportImage(incarnation, nanoClock.getAsLong());
        return transport.send(incarnation, frames).thenRun(() -> table.markHandedOver(incarnation));
    }
}
