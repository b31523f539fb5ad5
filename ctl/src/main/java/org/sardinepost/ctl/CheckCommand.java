package org.sardinepost.ctl;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.sardinepost.core.text.ServicesText;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates a services text and prints a summary or all errors. */
@Command(name = "check", description = "Validates a services text.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The services text.")
    private Path file;

    @Override
    public Integer call() {
        ServicesText text = ServicesTextFile.load(file).text();
        long upstreamCount = text.services().stream()
                .mapToLong(service -> service.upstreams().size())
                .sum();
        spec.commandLine()
                .getOut()
                .println(file + ": no errors; version " + text.version() + ", services: "
                        + text.services().size() + ", upstreams in the text: " + upstreamCount);
        return 0;
    }
}
