package org.sardinepost.daemon.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;

/** Parses a single request head. */
public final class RequestHeadParser {
    private static final int MAX_HEADER_BYTES = 8 << 10;

    private RequestHeadParser() {}

    /** Returns the head; empty if the HTTP server might reject it or interpret it differently. */
    public static Optional<MetaData.Request> parse(ByteBuffer head) {
        Handler handler = new Handler();
        HttpParser parser = new HttpParser(handler, MAX_HEADER_BYTES, HttpCompliance.RFC9110);
        try {
            parser.parseNext(head);
        } catch (RuntimeException e) {
            // The HTTP server parses the same bytes later and then reports what is wrong with them.
            return Optional.empty();
        }
        return head.hasRemaining() ? Optional.empty() : handler.request();
    }

    private static final class Handler implements HttpParser.RequestHandler {
        private final HttpFields.Mutable fields = HttpFields.build();
        private String method;
        private String target;
        private HttpVersion version;
        private boolean complete;
        private boolean failed;

        Optional<MetaData.Request> request() {
            if (!complete || failed || !target.startsWith("/")) {
                return Optional.empty();
            }
            HttpURI uri = HttpURI.build(method, target).asImmutable();
            return Optional.of(new MetaData.Request(method, uri, version, fields.asImmutable()));
        }

        @Override
        public void startRequest(String requestMethod, String uri, HttpVersion requestVersion) {
            method = requestMethod;
            target = uri;
            version = requestVersion;
        }

        @Override
        public void parsedHeader(HttpField field) {
            fields.add(field);
        }

        @Override
        public boolean headerComplete() {
            complete = true;
            return true;
        }

        @Override
        public boolean content(ByteBuffer item) {
            failed = true;
            return false;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            return true;
        }

        @Override
        public void earlyEOF() {
            failed = true;
        }

        @Override
        public void badMessage(HttpException failure) {
            failed = true;
        }
    }
}
