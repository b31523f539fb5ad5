package org.sardinepost.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.DaemonSettingsReader;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.core.text.ServicesTextReader;

/** The settings and, if the configuration source is a file, the services text, or the findings if either is invalid. */
record StartupFiles(Optional<DaemonSettings> settings, Optional<ServicesText> text, List<Finding> findings) {
    static StartupFiles read(Path settingsFile) {
        ValidationResult<DaemonSettings> settings = read(settingsFile, DaemonSettingsReader::read);
        if (settings.value().isEmpty()) {
            return new StartupFiles(Optional.empty(), Optional.empty(), settings.findings());
        }
        Source source = settings.value().get().configuration();
        if (source.kind() != Source.Kind.FILE) {
            return new StartupFiles(settings.value(), Optional.empty(), List.of());
        }
        ValidationResult<ServicesText> text = read(Path.of(source.location()), ServicesTextReader::read);
        return new StartupFiles(settings.value(), text.value(), text.findings());
    }

    private static <T> ValidationResult<T> read(Path file, BiFunction<String, String, ValidationResult<T>> reader) {
        try {
            return reader.apply(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return ValidationResult.failure(List.of(new Finding(
                    file.toString(), 1, "file", "the file cannot be read: " + e, "name a readable text file")));
        }
    }
}
