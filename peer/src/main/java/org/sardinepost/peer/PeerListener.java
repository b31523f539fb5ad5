package org.sardinepost.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** Callbacks of the peer transport. They run on its event loops and must not block. */
public final class PeerListener {
    private final Consumer<Hello> onInboundHello;
    private final BiConsumer<UpstreamId, Hello> onConnected;
    private final Consumer<UpstreamId> onDisconnected;
    private final BiConsumer<Hello, PeerMessage> onMessage;
    private final Consumer<PeerException> onFault;

    private PeerListener(Builder builder) {
        this.onInboundHello = builder.onInboundHello;
        this.onConnected = builder.onConnected;
        this.onDisconnected = builder.onDisconnected;
        this.onMessage = builder.onMessage;
        this.onFault = builder.onFault;
    }

    public static Builder builder() {
        return new Builder();
    }

    void inboundHelloReceived(Hello hello) {
        onInboundHello.accept(hello);
    }

    void connected(UpstreamId address, Hello hello) {
        onConnected.accept(address, hello);
    }

    void disconnected(UpstreamId address) {
        onDisconnected.accept(address);
    }

    void messageReceived(Hello sender, PeerMessage message) {
        onMessage.accept(sender, message);
    }

    void faultOccurred(PeerException fault) {
        onFault.accept(fault);
    }

    /** Builds a listener; callbacks that are not set do nothing. */
    public static final class Builder {
        private Consumer<Hello> onInboundHello = hello -> {};
        private BiConsumer<UpstreamId, Hello> onConnected = (address, hello) -> {};
        private Consumer<UpstreamId> onDisconnected = address -> {};
        private BiConsumer<Hello, PeerMessage> onMessage = (sender, message) -> {};
        private Consumer<PeerException> onFault = fault -> {};

        private Builder() {}

        /**
         * Sets the callback that runs when another daemon opened a connection to this one, or sent an updated Hello on
         * it.
         */
        public Builder onInboundHello(Consumer<Hello> callback) {
            this.onInboundHello = callback;
            return this;
        }

        /**
         * Sets the callback that runs when this daemon's connection to the address is established, or the peer sent an
         * updated Hello.
         */
        public Builder onConnected(BiConsumer<UpstreamId, Hello> callback) {
            this.onConnected = callback;
            return this;
        }

        /** Sets the callback that runs when this daemon's established connection to the address was closed. */
        public Builder onDisconnected(Consumer<UpstreamId> callback) {
            this.onDisconnected = callback;
            return this;
        }

        /** Sets the callback that runs for each received message, with the Hello of its sender. */
        public Builder onMessage(BiConsumer<Hello, PeerMessage> callback) {
            this.onMessage = callback;
            return this;
        }

        /** Sets the callback that runs when a connection fails, unless it was merely closed or could not be opened. */
        public Builder onFault(Consumer<PeerException> callback) {
            this.onFault = callback;
            return this;
        }

        public PeerListener build() {
            return new PeerListener(this);
        }
    }
}
