package org.sardinepost.daemon.token;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.token.AnswerHeader;
import org.sardinepost.core.token.StoredAnswer;
import org.sardinepost.daemon.call.HeldAnswer;

/** Converts responses between call processing and the token table. */
final class StoredResponses {
    private StoredResponses() {}

    static StoredAnswer toStored(HeldAnswer response) {
        List<AnswerHeader> headers = response.headers().stream()
                .map(field -> new AnswerHeader(field.getName(), String.valueOf(field.getValue())))
                .toList();
        ByteBuffer source = response.body();
        byte[] body = new byte[source.remaining()];
        source.get(body);
        return new StoredAnswer(response.status(), headers, body);
    }

    static HeldAnswer toBuffered(StoredAnswer response) {
        HttpFields.Mutable headers = HttpFields.build();
        response.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new HeldAnswer(response.status(), headers, ByteBuffer.wrap(response.body()));
    }
}
