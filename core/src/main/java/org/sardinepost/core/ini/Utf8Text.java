package org.sardinepost.core.ini;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decodes UTF-8 and rejects malformed input, because replacement characters would silently change names. */
public final class Utf8Text {
    private Utf8Text() {}

    public static ValidationResult<String> decode(String file, byte[] bytes) {
        try {
            return ValidationResult.success(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString());
        } catch (CharacterCodingException e) {
            return ValidationResult.failure(
                    List.of(new Finding(file, 1, "file", "the file is not valid UTF-8", "save it in UTF-8")));
        }
    }
}
