package org.sardinepost.daemon.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.membership.RendezvousHash;
import org.sardinepost.core.routing.CentralDispatcher;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerMessage;

/** Guards against calls that depend on one daemon, and against places that nobody gives back. */
final class PlacementTest {
    private static final String SERVICE = "booking";
    private static final UpstreamId FIRST = new UpstreamId("10.1.0.1", 80);
    private static final UpstreamId SECOND = new UpstreamId("10.1.0.2", 80);
    private static final Upstream UPSTREAM = new Upstream(new UpstreamId("10.9.0.1", 80), "a");

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("test", true);
    private final Map<UpstreamId, Node> nodes = new HashMap<>();
    private Node placer;
    private Node other;

    @BeforeEach
    void start() throws Exception {
        scheduler.start();
        boolean firstPlaces =
                RendezvousHash.before(FIRST.toString(), SECOND.toString(), RendezvousHash.subject(SERVICE));
        placer = new Node(firstPlaces ? FIRST : SECOND);
        other = new Node(firstPlaces ? SECOND : FIRST);
        placer.dispatcher.update(List.of(UPSTREAM), System.nanoTime());
        other.dispatcher.update(List.of(UPSTREAM), System.nanoTime());
    }

    @AfterEach
    void stop() throws Exception {
        scheduler.stop();
    }

    private static DispatchRequest request() {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        return new DispatchRequest(deadline, 0, 0, Set.of(), deadline, 0, Origin.unknown(), "route");
    }

    private static Dispatch acquire(Node node) throws Exception {
        return node.dispatcher.acquire(request(), System.nanoTime()).get(30, TimeUnit.SECONDS);
    }

    @Nested
    class Places {
        @Test
        void comeFromTheFirstInTheOrderOfTheService() throws Exception {
            Dispatch place = acquire(other);

            assertThat(place.upstream()).isEqualTo(UPSTREAM.id());
            assertThat(placer.placement.placedForOthers()).isEqualTo(1);
        }

        @Test
        void areGivenBackAtTheEndOfTheCall() throws Exception {
            acquire(other).finished(DispatchResult.of(DispatchResult.Kind.ANSWERED), System.nanoTime());

            assertThat(placer.placement.placedForOthers()).isEqualTo(0);
            assertThat(acquire(placer).upstream()).isEqualTo(UPSTREAM.id());
        }

        @Test
        void ofADaemonThatIsGoneAreFree() throws Exception {
            acquire(other);
            placer.placement.gone(other.incarnation);

            assertThat(placer.placement.placedForOthers()).isEqualTo(0);
            assertThat(acquire(placer).upstream()).isEqualTo(UPSTREAM.id());
        }

        @Test
        void onUpstreamsThatTheDaemonKnowsToBeLeavingAreGivenBack() {
            other.dispatcher.update(List.of(), System.nanoTime());
            CompletableFuture<Dispatch> place = other.dispatcher.acquire(request(), System.nanoTime());

            assertThat(place.handle((granted, failure) -> granted).join()).isNull();
            assertThat(placer.placement.placedForOthers()).isEqualTo(0);
        }

        @Test
        void areNotKeptForCallsThatAreGivenUpWhileTheyWait() throws Exception {
            acquire(placer);
            CompletableFuture<Dispatch> waiting = other.dispatcher.acquire(request(), System.nanoTime());
            waiting.cancel(false);

            assertThat(placer.placement.placedForOthers()).isEqualTo(0);
        }
    }

    @Nested
    class PlacerWithoutUpstreams {
        /** It has started while the source of the VM list does not answer. */
        @Test
        void isNotBelieved() throws Exception {
            placer.dispatcher.update(List.of(), System.nanoTime());

            assertThat(acquire(other).upstream()).isEqualTo(UPSTREAM.id());
        }
    }

    @Nested
    class SilentPlacer {
        @Test
        void isReplacedByTheDaemonItself() throws Exception {
            placer.frozen = true;

            assertThat(acquire(other).upstream()).isEqualTo(UPSTREAM.id());
        }

        @Test
        void isPassedOverByTheNextCalls() throws Exception {
            placer.frozen = true;
            acquire(other);

            assertThat(other.placement.placer(SERVICE, System.nanoTime())).isEmpty();
        }

        @Test
        void whoseConnectionEndsLosesItsWaitingCalls() throws Exception {
            acquire(placer);
            CompletableFuture<Dispatch> waiting = other.dispatcher.acquire(request(), System.nanoTime());
            assertThat(waiting.isDone()).isFalse();
            other.placement.disconnected(placer.address);

            assertThat(waiting.get(30, TimeUnit.SECONDS).upstream()).isEqualTo(UPSTREAM.id());
        }

        @Test
        void thatStopsIsAskedNoMore() {
            placer.stopping = true;

            assertThat(other.placement.placer(SERVICE, System.nanoTime())).isEmpty();
        }
    }

    /** One daemon; messages arrive on the thread that sends them. */
    private final class Node implements PlacementPeers {
        private final UpstreamId address;
        private final long incarnation;
        private final Placement placement;
        private final SharedDispatcher dispatcher;
        private volatile boolean frozen;
        private volatile boolean stopping;

        Node(UpstreamId address) {
            this.address = address;
            this.incarnation = nodes.size() + 1L;
            nodes.put(address, this);
            placement = new Placement(this, this::central, Runnable::run, scheduler, System::nanoTime);
            DispatcherSettings settings = DispatcherSettings.of(1, "a");
            CentralDispatcher central = new CentralDispatcher(settings, new SplittableRandom(1), Optional.empty());
            dispatcher = new SharedDispatcher(
                    SERVICE,
                    placement,
                    new CentralPlaces(central, scheduler, System::nanoTime),
                    new JointLoadDispatcher(settings, new SplittableRandom(2)));
        }

        private Optional<CentralPlaces> central(String service) {
            return Optional.of(dispatcher.central());
        }

        @Override
        public UpstreamId own() {
            return address;
        }

        @Override
        public List<UpstreamId> active() {
            return nodes.values().stream()
                    .filter(node -> !node.stopping)
                    .map(node -> node.address)
                    .toList();
        }

        @Override
        public void send(UpstreamId peer, PeerMessage message) {
            Node receiver = nodes.get(peer);
            if (!receiver.frozen) {
                receiver.placement.received(address, incarnation, message);
            }
        }
    }
}
