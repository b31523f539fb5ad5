package org.sardinepost.daemon.call;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.server.Request;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Reads the head of a request and rejects heads that an upstream might interpret differently. */
final class RequestHead {
    /** The characters besides letters and digits that a path may contain according to RFC 3986. */
    private static final String PATH_PUNCTUATION = "/%-._~!$&'()*+,;=:@";

    private static final int DELETE = 127;

    private final String method;
    private final HttpURI uri;
    private final HttpVersion version;
    private final HttpFields headers;

    RequestHead(Request request) {
        this(new MetaData.Request(
                request.getMethod(),
                request.getHttpURI(),
                request.getConnectionMetaData().getHttpVersion(),
                request.getHeaders()));
    }

    RequestHead(MetaData.Request request) {
        this.method = request.getMethod();
        this.uri = request.getHttpURI();
        this.version = request.getHttpVersion();
        this.headers = request.getHttpFields();
    }

    String method() {
        return method;
    }

    HttpFields headers() {
        return headers;
    }

    /**
     * Returns whether requests behind this one may be dispatched ahead: it has no body, leaves the connection open and will
     * not be refused as malformed later, as a target is that cannot be forwarded unchanged.
     */
    boolean permitsPipelining() {
        return version == HttpVersion.HTTP_1_1
                && !target().startsWith("//")
                && hasOnlyTargetCharacters()
                && unambiguousPath().isPresent()
                && !hasBodyFraming()
                && !headers.contains(HttpHeader.UPGRADE)
                && !headers.contains(HttpHeader.EXPECT)
                && !headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    /** Returns whether both heads have the same method, target and headers. */
    boolean sameAs(RequestHead other) {
        return method.equals(other.method)
                && target().equals(other.target())
                && version == other.version
                && headers.stream().toList().equals(other.headers.stream().toList());
    }

    /** Rejects requests that the HTTP parser accepts but that the daemon and an upstream might interpret differently. */
    void validate() {
        if (HttpMethod.CONNECT.is(method)) {
            throw malformed("CONNECT is not supported");
        }
        if (!target().startsWith("/") && !target().equals("*")) {
            throw malformed("the request target is not a path");
        }
        if (!hasOnlyTargetCharacters()) {
            throw malformed("the request target has a character that must be percent-encoded");
        }
        if (headers.getFields(HttpHeader.TRANSFER_ENCODING).size() > 0) {
            validateTransferEncoding();
        }
        if (headers.getFields(HttpHeader.CONTENT_LENGTH).size() > 1) {
            throw malformed("the request has more than one Content-Length header");
        }
    }

    /** Jetty accepts encoded control characters only together with those that RFC 3986 does not allow unencoded. */
    private boolean hasOnlyTargetCharacters() {
        boolean pathIsValid = path().chars().allMatch(RequestHead::isPathCharacter);
        return pathIsValid && target().chars().allMatch(character -> character > ' ' && character < DELETE);
    }

    private static boolean isPathCharacter(int character) {
        boolean isLetterOrDigit = (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9');
        return isLetterOrDigit || PATH_PUNCTUATION.indexOf(character) >= 0;
    }

    private void validateTransferEncoding() {
        List<String> encodings = headers.getValuesList(HttpHeader.TRANSFER_ENCODING);
        boolean chunkedOnly = encodings.size() == 1 && "chunked".equalsIgnoreCase(encodings.get(0));
        if (!chunkedOnly) {
            throw malformed("Transfer-Encoding is not chunked");
        }
        if (headers.contains(HttpHeader.CONTENT_LENGTH)) {
            throw malformed("the request has both Transfer-Encoding and Content-Length");
        }
        if (version.getVersion() < HttpVersion.HTTP_1_1.getVersion()) {
            throw malformed("Transfer-Encoding is not allowed in HTTP/1.0");
        }
    }

    /** Returns the host that selects the service. The authority of the target and the Host header must agree. */
    String host() {
        Optional<String> header = singleValue(HttpHeader.HOST.asString());
        Optional<String> authority = Optional.ofNullable(uri.getAuthority());
        // For an HTTP/1 request without a host, Jetty sets the authority to its own address.
        Optional<String> serviceHost =
                version.getVersion() < HttpVersion.HTTP_2.getVersion() ? header : header.or(() -> authority);
        if (serviceHost.filter(host -> !host.isBlank()).isEmpty()) {
            throw malformed("the Host header is missing");
        }
        if (header.isPresent() && authority.isPresent() && !sameHost(header.get(), authority.get())) {
            throw malformed("the Host header differs from the host of the target");
        }
        return serviceHost.get();
    }

    private static boolean sameHost(String first, String second) {
        return HostName.normalized(first).equals(HostName.normalized(second));
    }

    /** Returns path and query as the caller sent them. */
    String target() {
        String target = uri.getPathQuery();
        return target == null ? "" : target;
    }

    /** Returns the path of the target as the caller sent it, without the query. */
    String path() {
        String target = target();
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    CallContext context() {
        return singleValue(CallHeaders.CONTEXT)
                .map(value -> CallContext.parse(value)
                        .orElseThrow(() -> malformed(CallHeaders.CONTEXT
                                + " does not have the form service=NAME; depth=N;" + " attempts=N: " + value)))
                .orElse(CallContext.outside());
    }

    /** Returns the time that the caller allows for the call; empty if the header is absent. */
    Optional<Long> remainingMillis() {
        return singleValue(CallHeaders.DEADLINE_MS).map(value -> {
            try {
                return Long.parseLong(value.trim());
            } catch (NumberFormatException e) {
                throw malformed(CallHeaders.DEADLINE_MS + " is not an integer: " + value);
            }
        });
    }

    Optional<String> forwardedBy() {
        return singleValue(CallHeaders.FORWARDED);
    }

    /** Returns whether the headers announce a body, possibly of length 0. */
    boolean hasBodyFraming() {
        return headers.contains(HttpHeader.CONTENT_LENGTH) || headers.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /**
     * Returns the path to match against path patterns. Empty if an upstream might interpret the path differently, since a
     * request that only appears to be idempotent must not be retried.
     */
    Optional<String> unambiguousPath() {
        String path = uri.getPath();
        boolean isUnambiguous = path != null && !uri.hasViolations() && path.equals(uri.getCanonicalPath());
        return isUnambiguous ? Optional.of(path) : Optional.empty();
    }

    private Optional<String> singleValue(String name) {
        List<String> values = headers.getValuesList(name);
        if (values.size() > 1) {
            throw malformed("more than one " + name);
        }
        return values.stream().findFirst();
    }

    private static RefusedException malformed(String detail) {
        return new RefusedException(RefusalReason.MALFORMED_REQUEST, detail);
    }
}
