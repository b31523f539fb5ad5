package org.sardinepost.daemon.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the pages of the admin address. */
public final class AdminHandler extends Handler.Abstract {
    private final Map<String, Supplier<AdminAnswer>> pages;

    public AdminHandler(Readiness readiness, StatusPage status, PrometheusRegistry registry) {
        this.pages = Map.of(
                "/healthz", () -> AdminAnswer.text(HttpStatus.OK_200, "ok"),
                "/readyz", () -> readyPage(readiness.obstacles()),
                "/metrics", new MetricsPage(registry)::answer,
                "/status", () -> AdminAnswer.text(HttpStatus.OK_200, status.text()));
    }

    private static AdminAnswer readyPage(List<String> obstacles) {
        return obstacles.isEmpty()
                ? AdminAnswer.text(HttpStatus.OK_200, "ready")
                : AdminAnswer.text(HttpStatus.SERVICE_UNAVAILABLE_503, "not ready: " + String.join(", ", obstacles));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Supplier<AdminAnswer> page = pages.get(request.getHttpURI().getCanonicalPath());
        if (page == null) {
            return false;
        }
        AdminAnswer answer = page.get();
        response.setStatus(answer.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        response.write(true, answer.body(), callback);
        return true;
    }
}
