package org.sardinepost.bench.policies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.ReportedLoad;

/**
 * A simulated server with a fixed number of slots and a FIFO queue. It refuses calls when the queue is full, and queued
 * calls whose deadline has passed.
 */
final class Server {
    private static final long ERROR_DELAY_NANOS = 200_000;

    private record PendingCall(Call call, Consumer<DispatchResult> replyHandler) {}

    private final int index;
    private final Scenario scenario;
    private final int queueLimit;
    private final EventLoop loop;
    private final Deque<PendingCall> queue = new ArrayDeque<>();
    private int runningCalls;

    Server(int index, Scenario scenario, int queueLimit, EventLoop loop) {
        this.index = index;
        this.scenario = scenario;
        this.queueLimit = queueLimit;
        this.loop = loop;
    }

    void receive(Call call, Consumer<DispatchResult> replyHandler) {
        if (scenario.isFailing(index, loop.now())) {
            loop.scheduleAfter(ERROR_DELAY_NANOS, () -> replyHandler.accept(result(DispatchResult.Kind.FAILED)));
        } else if (runningCalls < scenario.deployment().slots()) {
            startCall(new PendingCall(call, replyHandler));
        } else if (queue.size() < queueLimit) {
            queue.addLast(new PendingCall(call, replyHandler));
        } else {
            replyHandler.accept(result(DispatchResult.Kind.REFUSED));
        }
    }

    private void startCall(PendingCall pending) {
        runningCalls++;
        long durationNanos = (long) (pending.call().serviceTimeNanos * scenario.slowdown(index, loop.now()));
        loop.scheduleAfter(durationNanos, () -> finishCall(pending));
    }

    private void finishCall(PendingCall pending) {
        pending.replyHandler().accept(result(DispatchResult.Kind.ANSWERED));
        runningCalls--;
        while (!queue.isEmpty() && runningCalls < scenario.deployment().slots()) {
            PendingCall next = queue.removeFirst();
            if (loop.now() > next.call().deadlineNanos()) {
                next.replyHandler().accept(result(DispatchResult.Kind.REFUSED));
            } else {
                startCall(next);
            }
        }
    }

    private DispatchResult result(DispatchResult.Kind kind) {
        return new DispatchResult(kind, Optional.of(load()), false);
    }

    ReportedLoad load() {
        return new ReportedLoad(
                runningCalls + queue.size(), scenario.deployment().slots());
    }
}
