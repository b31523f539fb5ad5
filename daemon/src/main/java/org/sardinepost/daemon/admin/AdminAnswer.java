package org.sardinepost.daemon.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What an admin page answers. */
record AdminAnswer(int status, String contentType, ByteBuffer body) {
    static AdminAnswer text(int status, String text) {
        return new AdminAnswer(status, "text/plain;charset=utf-8", StandardCharsets.UTF_8.encode(text + "\n"));
    }
}
