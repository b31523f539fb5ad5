package org.sardinepost.core.ini;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decodes a file in UTF-8; other encodings are a fault, since replaced characters would change names silently. */
public final class Utf8Text {
    private Utf8Text() {}

    public static Checked<String> decode(String file, byte[] bytes) {
        try {
            return Checked.good(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString());
        } catch (CharacterCodingException e) {
            return Checked.faulty(
                    List.of(new Finding(file, 1, "file", "the file is not in UTF-8", "save it in UTF-8")));
        }
    }
}
