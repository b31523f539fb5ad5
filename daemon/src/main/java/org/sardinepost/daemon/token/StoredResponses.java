package org.sardinepost.daemon.token;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.token.ResponseHeader;
import org.sardinepost.core.token.StoredResponse;
import org.sardinepost.daemon.call.BufferedResponse;

/** Converts responses between call processing and the token table. */
final class StoredResponses {
    private StoredResponses() {}

    static StoredResponse toStored(BufferedResponse response) {
        List<ResponseHeader> headers = response.headers().stream()
                .map(field -> new ResponseHeader(field.getName(), String.valueOf(field.getValue())))
                .toList();
        ByteBuffer source = response.body();
        byte[] body = new byte[source.remaining()];
        source.get(body);
        return new StoredResponse(response.status(), headers, body);
    }

    static BufferedResponse toBuffered(StoredResponse response) {
        HttpFields.Mutable headers = HttpFields.build();
        response.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new BufferedResponse(response.status(), headers, ByteBuffer.wrap(response.body()));
    }
}
