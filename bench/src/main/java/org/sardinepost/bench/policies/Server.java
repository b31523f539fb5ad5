package org.sardinepost.bench.policies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.ReportedLoad;

/** A server with slots and a FIFO queue. It refuses calls above its queue limit and calls whose deadline has passed. */
final class Server {
    private static final long FAIL_FAST_NANOS = 200_000;

    private record Work(Call call, Consumer<DispatchResult> reply) {}

    private final int index;
    private final Scenario scenario;
    private final int queueLimit;
    private final EventLoop loop;
    private final Deque<Work> queue = new ArrayDeque<>();
    private int running;

    Server(int index, Scenario scenario, int queueLimit, EventLoop loop) {
        this.index = index;
        this.scenario = scenario;
        this.queueLimit = queueLimit;
        this.loop = loop;
    }

    void arrive(Call call, Consumer<DispatchResult> reply) {
        if (scenario.failing(index, loop.now())) {
            loop.after(FAIL_FAST_NANOS, () -> reply.accept(result(DispatchResult.Kind.FAILED)));
        } else if (running < scenario.deployment().slots()) {
            start(new Work(call, reply));
        } else if (queue.size() < queueLimit) {
            queue.addLast(new Work(call, reply));
        } else {
            reply.accept(result(DispatchResult.Kind.REFUSED));
        }
    }

    private void start(Work work) {
        running++;
        long workNanos = (long) (work.call().serviceNanos * scenario.slowness(index, loop.now()));
        loop.after(workNanos, () -> end(work));
    }

    private void end(Work work) {
        work.reply().accept(result(DispatchResult.Kind.ANSWERED));
        running--;
        while (!queue.isEmpty() && running < scenario.deployment().slots()) {
            Work next = queue.removeFirst();
            if (loop.now() > next.call().deadlineNanos()) {
                next.reply().accept(result(DispatchResult.Kind.REFUSED));
            } else {
                start(next);
            }
        }
    }

    private DispatchResult result(DispatchResult.Kind kind) {
        return new DispatchResult(kind, Optional.of(load()), false);
    }

    ReportedLoad load() {
        return new ReportedLoad(running + queue.size(), scenario.deployment().slots());
    }
}
