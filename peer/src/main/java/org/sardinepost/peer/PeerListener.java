package org.sardinepost.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** Callbacks of the transport. They run on its event loops and must not block. */
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

    void inboundHello(Hello hello) {
        onInboundHello.accept(hello);
    }

    void connected(UpstreamId address, Hello hello) {
        onConnected.accept(address, hello);
    }

    void disconnected(UpstreamId address) {
        onDisconnected.accept(address);
    }

    void message(Hello sender, PeerMessage message) {
        onMessage.accept(sender, message);
    }

    void fault(PeerException fault) {
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

        /** A daemon opened a connection to this one, or announced new marks of itself. */
        public Builder onInboundHello(Consumer<Hello> value) {
            this.onInboundHello = value;
            return this;
        }

        /** This daemon's connection to the address is usable, or the other side announced new marks of itself. */
        public Builder onConnected(BiConsumer<UpstreamId, Hello> value) {
            this.onConnected = value;
            return this;
        }

        /** This daemon's connection to the address, which was usable, ended. */
        public Builder onDisconnected(Consumer<UpstreamId> value) {
            this.onDisconnected = value;
            return this;
        }

        /** A message arrived from the daemon with this Hello. */
        public Builder onMessage(BiConsumer<Hello, PeerMessage> value) {
            this.onMessage = value;
            return this;
        }

        /** A connection failed for another reason than being closed or refused. */
        public Builder onFault(Consumer<PeerException> value) {
            this.onFault = value;
            return this;
        }

        public PeerListener build() {
            return new PeerListener(this);
        }
    }
}
