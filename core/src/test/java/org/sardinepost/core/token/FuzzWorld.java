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

/** Callers, daemons in three slots, the network between them and upstreams, on a virtual clock. */
final class FuzzWorld {
    private static final int SLOTS = 3;
    private static final int ROOM_BYTES = 300;
    private static final long TICK_NANOS = FuzzDaemon.LIFETIME.toNanos() / 50;

    final FuzzOracle oracle = new FuzzOracle();
    private final FuzzDaemon[] slots = new FuzzDaemon[SLOTS];
    private final List<FuzzOrder> orders = new ArrayList<>();
    private final List<FuzzSend> network = new ArrayList<>();
    private final List<FuzzDispatch> dispatches = new ArrayList<>();
    private final List<FuzzImage> images = new ArrayList<>();
    private final Set<Integer> cuts = new HashSet<>();
    private final List<CompletableFuture<Void>> tellings = new ArrayList<>();
    private long nextIncarnation = 1;
    private long nowNanos;

    FuzzWorld() {
        for (int slot = 0; slot < SLOTS; slot++) {
            start(slot);
        }
    }

    void run(FuzzStep step) {
        FuzzDaemon daemon = slots[step.first() % SLOTS];
        int other = step.second() % SLOTS;
        switch (step.kind()) {
            case ISSUE -> issue(daemon);
            case SEND -> pick(orders, step.first(), order -> true).ifPresent(order -> send(order, step.second()));
            case DELIVER -> pick(network, step.first(), send -> true).ifPresent(this::deliver);
            case WRITE -> dispatch(step, d -> d.open() && !d.written, this::write);
            case EXECUTE -> dispatch(step, d -> d.written && !d.executed, this::execute);
            case ANSWER -> dispatch(step, d -> d.open() && d.executed, d -> answer(d, step.second()));
            case NOT_RUN -> dispatch(step, d -> d.open() && !d.written, d -> d.permit.notRun(refusal()));
            case UNKNOWN -> dispatch(step, FuzzDispatch::open, d -> d.permit.unknown(refusal()));
            case KILL -> start(daemon.slot);
            case PAUSE -> daemon.paused = true;
            case RESUME -> daemon.paused = false;
            case CUT -> cuts.add(link(daemon.slot, other));
            case HEAL -> cuts.remove(link(daemon.slot, other));
            case FREEZE -> freeze(daemon, slots[other]);
            case EXPORT -> export(daemon);
            case IMPORT -> pick(images, step.first(), image -> true).ifPresent(i -> deliver(i, step.second() % 2 == 0));
            case HELLO -> hello(slots[other], daemon);
            case TICK -> nowNanos += (step.first() % 10) * TICK_NANOS;
        }
        for (FuzzDaemon each : slots) {
            oracle.checkBounds(each);
        }
        checkTellings();
    }

    /** Joins what has completed, because a failed check of the oracle is only in the future. */
    private void checkTellings() {
        tellings.stream().filter(CompletableFuture::isDone).forEach(CompletableFuture::join);
        tellings.removeIf(CompletableFuture::isDone);
    }

    private static <T> Optional<T> pick(List<T> items, int number, Predicate<T> usable) {
        List<T> candidates = items.stream().filter(usable).toList();
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
            orders.add(new FuzzOrder(orders.size(), daemon.table.issue(daemon.clock(nowNanos))));
        } catch (RefusedException e) {
            oracle.events.add(e.reason().label());
        }
    }

    /** Callers repeat at any daemon, with any token that they ever received for the order, rarely with another body. */
    private void send(FuzzOrder order, int number) {
        IdempotencyToken token = order.tokens.get(number % order.tokens.size());
        boolean changed = number % 13 == 0;
        RequestFingerprint request = changed ? RequestFingerprint.of("POST", "/changed", new byte[0]) : order.request;
        network.add(new FuzzSend(order, token, request, -1, number / 7 % SLOTS));
    }

    private void deliver(FuzzSend send) {
        FuzzDaemon daemon = slots[send.slot()];
        if (!daemon.running()) {
            return;
        }
        network.remove(send);
        if (send.forwarded() && cuts.contains(link(send.from(), send.slot()))) {
            return;
        }
        TokenDecision decision = daemon.table.begin(send.token(), send.request(), ROOM_BYTES, daemon.clock(nowNanos));
        oracle.events.add(decision.getClass().getSimpleName());
        act(daemon, send, decision);
    }

    private void act(FuzzDaemon daemon, FuzzSend send, TokenDecision decision) {
        if (decision instanceof TokenDecision.Dispatch dispatch) {
            dispatches.add(new FuzzDispatch(daemon, send, dispatch.permit()));
            tellings.add(dispatch.permit().outcome().thenAccept(outcome -> oracle.told(send, outcome)));
        } else if (decision instanceof TokenDecision.Join join) {
            tellings.add(join.outcome().thenAccept(outcome -> oracle.told(send, outcome)));
        } else if (decision instanceof TokenDecision.Replay replay) {
            oracle.toldAnswer(send, replay.answer());
        } else if (decision instanceof TokenDecision.Renewed renewed) {
            oracle.toldNotRun(send, renewed.renewed());
        } else if (decision instanceof TokenDecision.NoRoomForAnswer none) {
            oracle.toldNotRun(send, none.renewed());
        } else if (elsewhere(decision) && !send.forwarded()) {
            forward(daemon, send);
        }
    }

    private static boolean elsewhere(TokenDecision decision) {
        return decision instanceof TokenDecision.NotIssuer
                || decision instanceof TokenDecision.HandedOver
                || decision instanceof TokenDecision.Frozen;
    }

    private void forward(FuzzDaemon daemon, FuzzSend send) {
        Integer slot = daemon.slotOfIncarnation.get(send.token().incarnation());
        if (slot != null && slot != daemon.slot) {
            oracle.events.add("forwarded");
            network.add(new FuzzSend(send.order(), send.token(), send.request(), daemon.slot, slot));
        }
    }

    private void dispatch(FuzzStep step, Predicate<FuzzDispatch> usable, Consumer<FuzzDispatch> action) {
        pick(dispatches, step.first(), usable).ifPresent(dispatch -> {
            action.accept(dispatch);
            dispatch.ended |= endsDispatch(step.kind());
        });
    }

    private static boolean endsDispatch(FuzzStep.Kind kind) {
        return kind == FuzzStep.Kind.ANSWER || kind == FuzzStep.Kind.NOT_RUN || kind == FuzzStep.Kind.UNKNOWN;
    }

    private void write(FuzzDispatch dispatch) {
        dispatch.written = true;
        oracle.wrote(dispatch.send.token());
    }

    private void execute(FuzzDispatch dispatch) {
        dispatch.executed = true;
        oracle.executed(dispatch.send.token());
    }

    private void answer(FuzzDispatch dispatch, int number) {
        int extraBytes = number % 10 == 0 ? FuzzDaemon.ANSWER_BYTES : 0;
        dispatch.permit.answered(oracle.answer(dispatch.send, extraBytes));
    }

    private void freeze(FuzzDaemon daemon, FuzzDaemon target) {
        if (daemon.running() && daemon.handoverTarget == 0 && daemon != target) {
            tellings.add(daemon.table.freeze());
            daemon.handoverTarget = target.incarnation;
        }
    }

    /** Tries at any time, so that a table that is in use must refuse. */
    private void export(FuzzDaemon daemon) {
        if (!daemon.running()) {
            return;
        }
        long target = daemon.handoverTarget == 0 ? slots[(daemon.slot + 1) % SLOTS].incarnation : daemon.handoverTarget;
        try {
            for (long incarnation : daemon.table.heldIncarnations()) {
                List<byte[]> frames = daemon.table.image(incarnation, daemon.clock(nowNanos));
                images.add(new FuzzImage(daemon, incarnation, target, frames));
            }
        } catch (HandoverException e) {
            oracle.events.add("export refused");
        }
    }

    /** Images are addressed to an incarnation: a replaced daemon at the same address does not receive them. */
    private void deliver(FuzzImage image, boolean acknowledged) {
        for (FuzzDaemon daemon : slots) {
            boolean receives = daemon.incarnation == image.target() && daemon.running();
            if (receives && !cuts.contains(link(daemon.slot, image.sender().slot))) {
                adopt(image, daemon, acknowledged);
            }
        }
    }

    private void adopt(FuzzImage image, FuzzDaemon daemon, boolean acknowledged) {
        try {
            boolean again = daemon.table.heldIncarnations().contains(image.incarnation());
            daemon.table.adopt(image.frames(), daemon.clock(nowNanos));
            oracle.events.add(again ? "adopted again" : "adopted");
        } catch (HandoverException e) {
            oracle.events.add("adoption refused");
            return;
        }
        if (acknowledged && image.sender().running()) {
            image.sender().table.handedOver(image.incarnation());
        }
    }

    private void hello(FuzzDaemon from, FuzzDaemon to) {
        boolean heard = from.running() && to.running() && !cuts.contains(link(from.slot, to.slot));
        if (heard) {
            from.table.heldIncarnations().forEach(incarnation -> to.slotOfIncarnation.put(incarnation, from.slot));
        }
    }
}
