package org.sardinepost.daemon.token;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.token.HandoverException;
import org.sardinepost.core.token.IncarnationKey;
import org.sardinepost.core.token.TokenIssuer;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.core.token.TokenTableLimits;
import org.sardinepost.core.token.TokenTableUsage;
import org.sardinepost.daemon.call.RequestGuard;
import org.sardinepost.daemon.control.HandoverTransport;
import org.sardinepost.daemon.control.PeerDirectory;

/** The token support of one daemon: its incarnation, token table, request guard and handover. */
public final class DaemonTokens {
    private static final int KEY_BYTES = 32;

    private final long incarnation;
    private final TokenTable table;
    private final LongSupplier nanoClock;
    private final TokenGuard guard;
    private volatile PeerDirectory directory = incarnation -> Optional.empty();

    private DaemonTokens(TokenIssuer issuer, TokenTableLimits limits, LongSupplier nanoClock) {
        this.incarnation = issuer.incarnation();
        this.table = new TokenTable(issuer, limits);
        this.nanoClock = nanoClock;
        this.guard = new TokenGuard(table, nanoClock, requested -> directory.callerAddressFor(requested));
    }

    /** Creates a new incarnation with a random number and key. */
    public static DaemonTokens create(DaemonSettings settings, LongSupplier nanoClock) {
        SecureRandom random = new SecureRandom();
        byte[] secret = new byte[KEY_BYTES];
        random.nextBytes(secret);
        TokenIssuer issuer = new TokenIssuer(settings.peerAddress(), random.nextLong(), new IncarnationKey(secret));
        return new DaemonTokens(issuer, TokenTableLimits.of(settings.tokenEntries(), settings.heldBytes()), nanoClock);
    }

    public long incarnation() {
        return incarnation;
    }

    public RequestGuard guard() {
        return guard;
    }

    /** Sets the directory of the daemons that hold the tokens of other incarnations. Without it no request is forwarded. */
    public void setPeerDirectory(PeerDirectory newDirectory) {
        this.directory = newDirectory;
    }

    /** Adopts the token table of another incarnation. Completes when this daemon is responsible for its tokens. */
    public CompletableFuture<Void> adopt(long foreignIncarnation, List<byte[]> frames) {
        try {
            long adopted = table.adopt(frames, nanoClock.getAsLong());
            return adopted == foreignIncarnation
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(new HandoverException(
                            "the frames contain another incarnation than announced; check the release of the sender"));
        } catch (HandoverException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Hands over all tokens. Must be called at the planned stop, after the last call. */
    public CompletableFuture<Void> handOver(HandoverTransport transport) {
        return new TokenHandover(table, nanoClock, transport).run();
    }

    public TokenTableUsage usage() {
        return table.usage();
    }
}
