package org.sardinepost.core.token;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Simulates callers, three daemons, the network between them and the upstreams on a virtual clock. */
final class FuzzSimulation {
    private static final int SLOTS = 3;
    private static final int MAX_RESPONSE_BYTES = 300;
    private static final long CLOCK_STEP_NANOS = FuzzDaemon.LIFETIME.toNanos() / 50;

    final FuzzOracle oracle = new FuzzOracle();
    private final FuzzDaemon[] slots = new FuzzDaemon[SLOTS];
    private final List<FuzzRequest> requests = new ArrayList<>();
    private final List<FuzzSend> network = new ArrayList<>();
    private final List<FuzzDispatch> dispatches = new ArrayList<>();
    private final List<FuzzImage> images = new ArrayList<>();
    private final Set<Integer> cutLinks = new HashSet<>();
    private final List<CompletableFuture<Void>> pendingOutcomes = new ArrayList<>();
    private long nextIncarnation = 1;
    private long nowNanos;

    FuzzSimulation() {
        for (int slot = 0; slot < SLOTS; slot++) {
            start(slot);
        }
    }

    void run(FuzzStep step) {
        FuzzDaemon daemon = slots[step.first() % SLOTS];
        int other = step.second() % SLOTS;
        switch (step.kind()) {
            case ISSUE -> issue(daemon);
            case SEND -> select(requests, step.first(), callerRequest -> true)
                    .ifPresent(callerRequest -> send(callerRequest, step.second()));
            case DELIVER -> select(network, step.first(), send -> true).ifPresent(this::deliver);
            case WRITE -> dispatch(step, d -> d.open() && !d.written, this::write);
            case EXECUTE -> dispatch(step, d -> d.written && !d.executed, this::execute);
            case RESPOND -> dispatch(step, d -> d.open() && d.executed, d -> respond(d, step.second()));
            case NOT_RUN -> dispatch(step, d -> d.open() && !d.written, d -> d.permit.notRun(refusal()));
            case UNKNOWN -> dispatch(step, FuzzDispatch::open, d -> d.permit.unknown(refusal()));
            case REPLACE_DAEMON -> start(daemon.slot);
            case PAUSE -> daemon.paused = true;
            case RESUME -> daemon.paused = false;
            case CUT_LINK -> cutLinks.add(link(daemon.slot, other));
            case RESTORE_LINK -> cutLinks.remove(link(daemon.slot, other));
            case FREEZE -> freeze(daemon, slots[other]);
            case EXPORT_IMAGE -> export(daemon);
            case DELIVER_IMAGE -> select(images, step.first(), image -> true)
                    .ifPresent(i -> deliver(i, step.second() % 2 == 0));
            case ANNOUNCE -> announce(slots[other], daemon);
            case ADVANCE_CLOCK -> nowNanos += (step.first() % 10) * CLOCK_STEP_NANOS;
        }
        for (FuzzDaemon checkedDaemon : slots) {
            oracle.checkLimits(checkedDaemon);
        }
        checkCompletedOutcomes();
    }

    /** Joins completed futures, because a failed oracle check only completes its future exceptionally. */
    private void checkCompletedOutcomes() {
        pendingOutcomes.stream().filter(CompletableFuture::isDone).forEach(CompletableFuture::join);
        pendingOutcomes.removeIf(CompletableFuture::isDone);
    }

    private static <T> Optional<T> select(List<T> items, int number, Predicate<T> filter) {
        List<T> candidates = items.stream().filter(filter).toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(number % candidates.size()));
    }

    private static RefusedException refusal() {
        return new RefusedException(RefusalReason.UPSTREAM_FAILED, "test");
    }

    private static int link(int a, int b) {
        return Math.min(a, b) * SLOTS + Math.max(a, b);
    }

    private void start(int slot) {
        if (slots[slot] != null) {
            slots[slot].alive = false;
        }
        slots[slot] = new FuzzDaemon(slot, nextIncarnation++);
    }

    private void issue(FuzzDaemon daemon) {
        if (!daemon.running()) {
            return;
        }
        try {
            requests.add(new FuzzRequest(requests.size(), daemon.table.issue(daemon.clock(nowNanos))));
        } catch (RefusedException e) {
            oracle.events.add(e.reason().label());
        }
    }

    /**
     * Sends the request of a caller to any daemon with any token that the caller received for it, rarely with a
     * different request.
     */
    private void send(FuzzRequest callerRequest, int number) {
        IdempotencyToken token = callerRequest.tokens.get(number % callerRequest.tokens.size());
        boolean otherRequest = number % 13 == 0;
        RequestFingerprint request =
                otherRequest ? RequestFingerprint.of("POST", "/changed", new byte[0]) : callerRequest.request;
        network.add(new FuzzSend(callerRequest, token, request, -1, number / 7 % SLOTS));
    }

    private void deliver(FuzzSend send) {
        FuzzDaemon daemon = slots[send.slot()];
        if (!daemon.running()) {
            return;
        }
        network.remove(send);
        if (send.forwarded() && cutLinks.contains(link(send.from(), send.slot()))) {
            return;
        }
        TokenDecision decision =
                daemon.table.begin(send.token(), send.request(), MAX_RESPONSE_BYTES, daemon.clock(nowNanos));
        oracle.events.add(decision.getClass().getSimpleName());
        handle(daemon, send, decision);
    }

    private void handle(FuzzDaemon daemon, FuzzSend send, TokenDecision decision) {
        if (decision instanceof TokenDecision.Dispatch dispatch) {
            dispatches.add(new FuzzDispatch(daemon, send, dispatch.permit()));
            pendingOutcomes.add(dispatch.permit().outcome().thenAccept(outcome -> oracle.checkOutcome(send, outcome)));
        } else if (decision instanceof TokenDecision.Join join) {
            pendingOutcomes.add(join.outcome().thenAccept(outcome -> oracle.checkOutcome(send, outcome)));
        } else if (decision instanceof TokenDecision.Replay replay) {
            oracle.checkResponse(send, replay.response());
        } else if (decision instanceof TokenDecision.Renewed renewed) {
            oracle.recordNotRun(send, renewed.renewed());
        } else if (decision instanceof TokenDecision.ResponseBudgetFull none) {
            oracle.recordNotRun(send, none.renewed());
        } else if (handledByOtherDaemon(decision) && !send.forwarded()) {
            forward(daemon, send);
        }
    }

    private static boolean handledByOtherDaemon(TokenDecision decision) {
        return decision instanceof TokenDecision.NotIssuer
                || decision instanceof TokenDecision.HandedOver
                || decision instanceof TokenDecision.Frozen;
    }

    private void forward(FuzzDaemon daemon, FuzzSend send) {
        Integer slot = daemon.slotOfIncarnation.get(send.token().incarnation());
        if (slot != null && slot != daemon.slot) {
            oracle.events.add("forwarded");
            network.add(new FuzzSend(send.callerRequest(), send.token(), send.request(), daemon.slot, slot));
        }
    }

    private void dispatch(FuzzStep step, Predicate<FuzzDispatch> filter, Consumer<FuzzDispatch> action) {
        select(dispatches, step.first(), filter).ifPresent(dispatch -> {
            action.accept(dispatch);
            dispatch.ended |= endsDispatch(step.kind());
        });
    }

    private static boolean endsDispatch(FuzzStep.Kind kind) {
        return kind == FuzzStep.Kind.RESPOND || kind == FuzzStep.Kind.NOT_RUN || kind == FuzzStep.Kind.UNKNOWN;
    }

    private void write(FuzzDispatch dispatch) {
        dispatch.written = true;
        oracle.recordWrite(dispatch.send.token());
    }

    private void execute(FuzzDispatch dispatch) {
        dispatch.executed = true;
        oracle.recordExecution(dispatch.send.token());
    }

    private void respond(FuzzDispatch dispatch, int number) {
        int extraBytes = number % 10 == 0 ? FuzzDaemon.RESPONSE_BYTES : 0;
        dispatch.permit.answered(oracle.response(dispatch.send, extraBytes));
    }

    private void freeze(FuzzDaemon daemon, FuzzDaemon target) {
        if (daemon.running() && daemon.handoverTarget == 0 && daemon != target) {
            pendingOutcomes.add(daemon.table.freeze());
            daemon.handoverTarget = target.incarnation;
        }
    }

    /** Exports in any state, so that refusing the export of a table in use is covered. */
    private void export(FuzzDaemon daemon) {
        if (!daemon.running()) {
            return;
        }
        long target = daemon.handoverTarget == 0 ? slots[(daemon.slot + 1) % SLOTS].incarnation : daemon.handoverTarget;
        try {
            for (long incarnation : daemon.table.heldIncarnations()) {
                List<byte[]> frames = daemon.table.exportImage(incarnation, daemon.clock(nowNanos));
                images.add(new FuzzImage(daemon, incarnation, target, frames));
            }
        } catch (HandoverException e) {
            oracle.events.add("export refused");
        }
    }

    /** Images are addressed to an incarnation, so a restarted daemon at the same address does not receive them. */
    private void deliver(FuzzImage image, boolean acknowledged) {
        for (FuzzDaemon daemon : slots) {
            boolean delivered = daemon.incarnation == image.target() && daemon.running();
            if (delivered && !cutLinks.contains(link(daemon.slot, image.sender().slot))) {
                adopt(image, daemon, acknowledged);
            }
        }
    }

    private void adopt(FuzzImage image, FuzzDaemon daemon, boolean acknowledged) {
        try {
            boolean alreadyAdopted = daemon.table.heldIncarnations().contains(image.incarnation());
            daemon.table.adopt(image.frames(), daemon.clock(nowNanos));
            oracle.events.add(alreadyAdopted ? "adopted again" : "adopted");
        } catch (HandoverException e) {
            oracle.events.add("adoption refused");
            return;
        }
        if (acknowledged && image.sender().running()) {
            image.sender().table.markHandedOver(image.incarnation());
        }
    }

    private void announce(FuzzDaemon from, FuzzDaemon to) {
        boolean delivered = from.running() && to.running() && !cutLinks.contains(link(from.slot, to.slot));
        if (delivered) {
            from.table.heldIncarnations().forEach(incarnation -> to.slotOfIncarnation.put(incarnation, from.slot));
        }
    }
}
