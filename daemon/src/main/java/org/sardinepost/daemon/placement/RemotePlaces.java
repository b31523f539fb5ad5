package org.sardinepost.daemon.placement;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.PlaceAnswer;

/** Asks other daemons for places. Thread-safe. */
final class RemotePlaces {
    /** Some ten round trips in a region; a placer that does not answer by then is frozen, slow or cut off. */
    private static final long ANSWER_LIMIT_MILLIS = 40;

    /** A waiting call is refused by its placer earlier than this share of the time that it has. */
    private static final double WAITING_LIMIT_SHARE = 0.5;

    private final PlacementPeers peers;
    private final PlacerChoice choice;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final AtomicLong calls = new AtomicLong();
    private final Map<Long, Asked> asked = new ConcurrentHashMap<>();

    RemotePlaces(PlacementPeers peers, PlacerChoice choice, Scheduler scheduler, LongSupplier nanoClock) {
        this.peers = peers;
        this.choice = choice;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    /**
     * Asks a placer.
     *
     * <p>The future fails with {@link RefusedException} if the placer refuses the call, and with {@link
     * PlacerSilentException} if it does not answer.
     */
    CompletableFuture<Dispatch> ask(UpstreamId placer, String service, DispatchRequest request, long nowNanos) {
        long call = calls.incrementAndGet();
        Asked question = new Asked(placer, service, call, request);
        asked.put(call, question);
        question.limit(ANSWER_LIMIT_MILLIS);
        peers.send(placer, PlaceMessages.request(call, service, request, nowNanos));
        var unused = question.place.whenComplete((place, failure) -> ended(question));
        return question.place;
    }

    void answered(UpstreamId placer, PlaceAnswer answer) {
        choice.answered(placer);
        Asked question = asked.get(answer.getCall());
        if (question == null || !question.placer.equals(placer)) {
            giveBackUnwanted(placer, answer);
            return;
        }
        if (answer.getWaiting()) {
            question.waits();
            return;
        }
        Optional<RefusedException> refusal = PlaceMessages.refusal(answer);
        if (refusal.isPresent()) {
            question.place.completeExceptionally(refusal.get());
            return;
        }
        Optional<UpstreamId> upstream = UpstreamId.parse(answer.getUpstream());
        if (upstream.isEmpty()) {
            question.place.completeExceptionally(new PlacerSilentException(placer));
            return;
        }
        RemotePlace place = new RemotePlace(question, upstream.get(), answer.getInstance());
        if (!question.place.complete(place)) {
            place.finished(DispatchResult.of(DispatchResult.Kind.CANCELLED), nanoClock.getAsLong());
        }
    }

    /** The connection to a placer ended. */
    void gone(UpstreamId placer) {
        asked.values().stream()
                .filter(question -> question.placer.equals(placer))
                .forEach(question -> question.place.completeExceptionally(new PlacerSilentException(placer)));
    }

    /** The call went elsewhere in the meantime, but the placer counts it. */
    private void giveBackUnwanted(UpstreamId placer, PlaceAnswer answer) {
        if (!answer.getUpstream().isEmpty()) {
            peers.send(placer, end(answer.getCall(), ""));
        }
    }

    /** A call that got no place must not keep its position in the placer's queue. */
    private void ended(Asked question) {
        question.timer.cancel();
        asked.remove(question.call);
        if (question.place.isCompletedExceptionally()) {
            peers.send(question.placer, end(question.call, question.service));
        }
    }

    private static PeerMessage end(long call, String service) {
        return PlaceMessages.end(call, service, DispatchResult.of(DispatchResult.Kind.CANCELLED));
    }

    private final class Asked {
        private final UpstreamId placer;
        private final String service;
        private final long call;
        private final DispatchRequest request;
        private final CompletableFuture<Dispatch> place = new CompletableFuture<>();
        private volatile Scheduler.Task timer = () -> true;

        Asked(UpstreamId placer, String service, long call, DispatchRequest request) {
            this.placer = placer;
            this.service = service;
            this.call = call;
            this.request = request;
        }

        void limit(long millis) {
            timer.cancel();
            timer = scheduler.schedule(this::silent, millis, TimeUnit.MILLISECONDS);
        }

        void waits() {
            long left = request.deadlineNanos() - nanoClock.getAsLong();
            limit(ANSWER_LIMIT_MILLIS + TimeUnit.NANOSECONDS.toMillis((long) (WAITING_LIMIT_SHARE * left)));
        }

        private void silent() {
            if (place.isDone()) {
                return;
            }
            // Noted first: whoever learns that the place failed may ask for the next one at once.
            choice.silent(placer, nanoClock.getAsLong());
            place.completeExceptionally(new PlacerSilentException(placer));
        }
    }

    private final class RemotePlace implements Dispatch {
        private final Asked question;
        private final UpstreamId upstream;
        private final String instance;
        private final AtomicBoolean released = new AtomicBoolean();

        RemotePlace(Asked question, UpstreamId upstream, String instance) {
            this.question = question;
            this.upstream = upstream;
            this.instance = instance;
        }

        @Override
        public UpstreamId upstream() {
            return upstream;
        }

        @Override
        public Optional<String> instance() {
            return instance.isEmpty() ? Optional.empty() : Optional.of(instance);
        }

        @Override
        public void finished(DispatchResult result, long nowNanos) {
            if (released.compareAndSet(false, true)) {
                peers.send(question.placer, PlaceMessages.end(question.call, question.service, result));
            }
        }
    }
}
