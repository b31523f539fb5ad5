package org.sardinepost.daemon.call;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Removes the hop-by-hop headers, which apply to a single connection. */
final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings");

    private EndToEndHeaders() {}

    /** Returns the headers without hop-by-hop headers and without those listed in the Connection header. */
    static HttpFields.Mutable of(HttpFields headers) {
        Set<String> connectionOptions = parseConnectionOptions(headers);
        HttpFields.Mutable endToEnd = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                endToEnd.add(field);
            }
        }
        return endToEnd;
    }

    private static Set<String> parseConnectionOptions(HttpFields headers) {
        if (!headers.contains(HttpHeader.CONNECTION)) {
            return Set.of();
        }
        Set<String> connectionOptions = new HashSet<>();
        headers.getCSV(HttpHeader.CONNECTION, false)
                .forEach(name -> connectionOptions.add(name.toLowerCase(Locale.ROOT)));
        return connectionOptions;
    }
}
