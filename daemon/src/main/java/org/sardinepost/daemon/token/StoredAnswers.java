package org.sardinepost.daemon.token;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.token.AnswerHeader;
import org.sardinepost.core.token.StoredAnswer;
import org.sardinepost.daemon.call.HeldAnswer;

/** Converts answers between the path of a call and the token table. */
final class StoredAnswers {
    private StoredAnswers() {}

    static StoredAnswer stored(HeldAnswer answer) {
        List<AnswerHeader> headers = answer.headers().stream()
                .map(field -> new AnswerHeader(field.getName(), String.valueOf(field.getValue())))
                .toList();
        ByteBuffer source = answer.body();
        byte[] body = new byte[source.remaining()];
        source.get(body);
        return new StoredAnswer(answer.status(), headers, body);
    }

    static HeldAnswer held(StoredAnswer answer) {
        HttpFields.Mutable headers = HttpFields.build();
        answer.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new HeldAnswer(answer.status(), headers, ByteBuffer.wrap(answer.body()));
    }
}
