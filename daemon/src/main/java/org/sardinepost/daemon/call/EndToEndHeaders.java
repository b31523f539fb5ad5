package org.sardinepost.daemon.call;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Leaves out the headers that concern one connection only. */
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

    /** The headers without hop-by-hop ones and without those that Connection names. */
    static HttpFields.Mutable of(HttpFields headers) {
        Set<String> named = namedByConnection(headers);
        HttpFields.Mutable kept = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                kept.add(field);
            }
        }
        return kept;
    }

    private static Set<String> namedByConnection(HttpFields headers) {
        if (!headers.contains(HttpHeader.CONNECTION)) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        headers.getCSV(HttpHeader.CONNECTION, false).forEach(name -> named.add(name.toLowerCase(Locale.ROOT)));
        return named;
    }
}
