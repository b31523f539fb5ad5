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

/** The tokens of one daemon: its incarnation, table, guard and hand-over. */
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
        this.guard = new TokenGuard(table, nanoClock, wanted -> directory.callerAddressFor(wanted));
    }

    /** A new incarnation with a random number and key. */
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

    /** Sets where the holders of other incarnations' tokens are found; without it no request is forwarded. */
    public void useDirectory(PeerDirectory value) {
        this.directory = value;
    }

    /** Adopts the table of another incarnation; completes when this daemon answers for its tokens. */
    public CompletableFuture<Void> adopt(long foreignIncarnation, List<byte[]> frames) {
        try {
            long adopted = table.adopt(frames, nanoClock.getAsLong());
            return adopted == foreignIncarnation
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(new HandoverException(
                            "the frames hold another incarnation than they name; check the sender's release"));
        } catch (HandoverException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Hands all tokens over; to be called at the planned stop after the last call. */
    public CompletableFuture<Void> handOver(HandoverTransport transport) {
        return new TokenHandover(table, nanoClock, transport).run();
    }

    public TokenTableUsage usage() {
        return table.usage();
    }
}
