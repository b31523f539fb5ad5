package org.sardinepost.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.sardinepost.core.ini.Checked;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.IniDocument;
import org.sardinepost.core.ini.IniParser;
import org.sardinepost.core.ini.Utf8Text;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.core.text.ServicesTextReader;

/** A services text without faults, with the text that it was read from. */
record CheckedText(String file, String content, ServicesText text) {
    /** Reads the file; fails with every fault if the text is wrong. */
    static CheckedText read(Path path) {
        String file = path.toString();
        String content = valueOf(Utf8Text.decode(file, bytes(path)));
        return new CheckedText(file, content, valueOf(ServicesTextReader.read(file, content)));
    }

    IniDocument document() {
        return IniParser.parse(file, content);
    }

    private static <T> T valueOf(Checked<T> checked) {
        return checked.value()
                .orElseThrow(() -> new CtlException(CtlException.TEXT_OR_DAEMON, report(checked.findings())));
    }

    private static String report(List<Finding> findings) {
        return findings.stream().map(Finding::toString).collect(Collectors.joining(System.lineSeparator()));
    }

    private static byte[] bytes(Path path) {
        try {
            return Files.readAllBytes(path);
        } catch (NoSuchFileException e) {
            throw new CtlException(CtlException.USAGE, path + ": the file does not exist; check the path");
        } catch (IOException e) {
            throw new CtlException(
                    CtlException.USAGE,
                    path + ": the file cannot be read (" + e.getMessage() + "); check its type and permissions");
        }
    }
}
