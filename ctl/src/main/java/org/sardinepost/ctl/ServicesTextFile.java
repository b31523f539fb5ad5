package org.sardinepost.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniParser;
import org.sardinepost.core.ini.Utf8Text;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.core.text.ServicesTextReader;

/**
 * A file that contains a valid services text.
 *
 * @param fileName the path, as it is shown in messages
 * @param content the file content
 * @param text the parsed services text
 */
record ServicesTextFile(String fileName, String content, ServicesText text) {
    /**
     * Reads and validates a file.
     *
     * @throws CtlException if the file cannot be read or the text is invalid; the message lists all errors of the text
     */
    static ServicesTextFile load(Path path) {
        String fileName = path.toString();
        String content = valueOrThrow(Utf8Text.decode(fileName, readBytes(path)));
        return new ServicesTextFile(fileName, content, valueOrThrow(ServicesTextReader.read(fileName, content)));
    }

    IniDocument document() {
        return IniParser.parse(fileName, content);
    }

    private static <T> T valueOrThrow(ValidationResult<T> result) {
        return result.value()
                .orElseThrow(() -> new CtlException(CtlException.EXIT_FAILURE, formatFindings(result.findings())));
    }

    private static String formatFindings(List<Finding> findings) {
        return findings.stream().map(Finding::toString).collect(Collectors.joining(System.lineSeparator()));
    }

    private static byte[] readBytes(Path path) {
        try {
            return Files.readAllBytes(path);
        } catch (NoSuchFileException e) {
            throw new CtlException(CtlException.EXIT_USAGE, path + ": the file does not exist; check the path");
        } catch (IOException e) {
            throw new CtlException(
                    CtlException.EXIT_USAGE,
                    path + ": the file cannot be read (" + e.getMessage() + "); check its type and permissions");
        }
    }
}
