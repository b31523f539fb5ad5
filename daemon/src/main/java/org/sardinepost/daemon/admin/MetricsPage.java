package org.sardinepost.daemon.admin;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpStatus;

/** Renders all metrics in the Prometheus text format. */
final class MetricsPage {
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);

    MetricsPage(PrometheusRegistry registry) {
        this.registry = registry;
    }

    AdminResponse render() {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try {
            writer.write(buffer, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new AdminResponse(HttpStatus.OK_200, writer.getContentType(), ByteBuffer.wrap(buffer.toByteArray()));
    }
}
