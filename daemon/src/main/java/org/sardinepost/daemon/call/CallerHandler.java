package org.sardinepost.daemon.call;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Handles the calls that arrive on the caller address. */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
    private final CallDependencies dependencies;

    public CallerHandler(CallDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerConnection connection = new CallerConnection(request);
        PipelineTurn turn = connection.claim(new RequestHead(request));
        if (turn.call().isPresent() || dependencies.callsInProgress().tryBegin()) {
            new ActiveCall(dependencies, connection, turn, request, response, callback).start();
        } else {
            refuse(turn, request, response, callback);
        }
        return true;
    }

    private void refuse(PipelineTurn turn, Request request, Response response, Callback callback) {
        dependencies.callsInProgress().beginRefusal();
        dependencies.metrics().refused(RefusalReason.DRAINING);
        RefusedException refusal = new RefusedException(RefusalReason.DRAINING, "this daemon is stopping");
        BufferedResponse bufferedResponse = dependencies
                .localResponseTranslator()
                .apply(LocalResponses.of(Refusals.beforeGuard(turn, request.getHeaders(), refusal)))
                .withHeader("Connection", "close");
        Callback done = Callback.from(callback, dependencies.callsInProgress()::finish);
        ResponseWriter.write(bufferedResponse, request, response, done);
    }
}
