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
    private final Map<String, Supplier<AdminResponse>> pages;

    public AdminHandler(Readiness readiness, StatusPage statusPage, PrometheusRegistry registry) {
        this.pages = Map.of(
                "/healthz", () -> AdminResponse.plainText(HttpStatus.OK_200, "ok"),
                "/readyz", () -> readinessResponse(readiness.unreadyReasons()),
                "/metrics", new MetricsPage(registry)::render,
                "/status", () -> AdminResponse.plainText(HttpStatus.OK_200, statusPage.render()));
    }

    private static AdminResponse readinessResponse(List<String> unreadyReasons) {
        return unreadyReasons.isEmpty()
                ? AdminResponse.plainText(HttpStatus.OK_200, "ready")
                : AdminResponse.plainText(
                        HttpStatus.SERVICE_UNAVAILABLE_503, "not ready: " + String.join(", ", unreadyReasons));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Supplier<AdminResponse> page = pages.get(request.getHttpURI().getCanonicalPath());
        if (page == null) {
            return false;
        }
        AdminResponse pageResponse = page.get();
        response.setStatus(pageResponse.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, pageResponse.contentType());
        response.write(true, pageResponse.body(), callback);
        return true;
    }
}
