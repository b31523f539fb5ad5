package org.sardinepost.ctl;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.sardinepost.core.text.ServicesText;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a services text and prints a summary or every fault. */
@Command(name = "check", description = "Checks a services text.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The services text.")
    private Path file;

    @Override
    public Integer call() {
        ServicesText text = CheckedText.read(file).text();
        long upstreams = text.services().stream()
                .mapToLong(service -> service.upstreams().size())
                .sum();
        spec.commandLine()
                .getOut()
                .println(file + ": no faults; version " + text.version() + ", services: "
                        + text.services().size() + ", upstreams in the text: " + upstreams);
        return 0;
    }
}
