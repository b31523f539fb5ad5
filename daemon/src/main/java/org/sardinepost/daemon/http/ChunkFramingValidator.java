package org.sardinepost.daemon.http;

import org.eclipse.jetty.http.BadMessageException;

/** Tracks the chunked framing of one body and rejects chunk data that is longer than the chunk size. */
final class ChunkFramingValidator {
    private static final int HEX_RADIX = 16;

    private enum State {
        SIZE,
        EXTENSION,
        DATA,
        CR_AFTER_DATA,
        LF_AFTER_DATA
    }

    private State state = State.SIZE;
    private long size;

    void reset() {
        state = State.SIZE;
        size = 0;
    }

    /** Processes the next byte. The parser has already rejected chunk sizes that are invalid or too large. */
    void accept(byte value) {
        switch (state) {
            case SIZE -> acceptSize(value);
            case EXTENSION -> acceptExtension(value);
            case DATA -> acceptData();
            case CR_AFTER_DATA -> expect('\r', value, State.LF_AFTER_DATA);
            case LF_AFTER_DATA -> {
                expect('\n', value, State.SIZE);
                size = 0;
            }
        }
    }

    private void acceptSize(byte value) {
        int digit = Character.digit(value, HEX_RADIX);
        if (digit >= 0) {
            size = size * HEX_RADIX + digit;
        } else {
            state = State.EXTENSION;
            acceptExtension(value);
        }
    }

    private void acceptExtension(byte value) {
        if (value == '\n') {
            state = size == 0 ? State.SIZE : State.DATA;
        }
    }

    private void acceptData() {
        size--;
        if (size == 0) {
            state = State.CR_AFTER_DATA;
        }
    }

    private void expect(char expected, byte value, State nextState) {
        if (value != expected) {
            throw new BadMessageException("the chunk data is longer than the chunk size");
        }
        state = nextState;
    }
}
