package org.sardinepost.daemon.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The response of an admin page. */
record AdminResponse(int status, String contentType, ByteBuffer body) {
    static AdminResponse plainText(int status, String text) {
        return new AdminResponse(status, "text/plain;charset=utf-8", StandardCharsets.UTF_8.encode(text + "\n"));
    }
}
