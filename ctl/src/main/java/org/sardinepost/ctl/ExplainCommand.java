package org.sardinepost.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows from the logs of daemons what became of one request. */
@Command(
        name = "explain",
        description = "Shows from the logs of all daemons what became of a request, with the cause last.")
final class ExplainCommand implements Callable<Integer> {
    /** Further ones are only counted. */
    private static final int SHOWN_UNREADABLE = 5;

    @Parameters(index = "0", paramLabel = "ID", description = "The request's id, as in field id of the log.")
    private String id;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Logs of daemons; standard input if there is none.")
    private List<Path> files = List.of();

    @Spec
    private CommandSpec spec;

    private final List<LogLine> lines = new ArrayList<>();
    private final List<String> unreadable = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        if (files.isEmpty()) {
            read("standard input", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        }
        for (Path file : files) {
            read(file);
        }
        List<String> story = new RequestStory(lines).of(id);
        story.forEach(spec.commandLine().getOut()::println);
        reportUnreadable();
        if (story.isEmpty()) {
            throw new CtlException(
                    CtlException.TEXT_OR_DAEMON,
                    "no line names request " + id + "; give the logs of all daemons, and check the id"
                            + " (lines beyond [log] call-lines are left out, see field left-out)");
        }
        return unreadable.isEmpty() ? 0 : CtlException.TEXT_OR_DAEMON;
    }

    private void read(Path file) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            read(file.toString(), reader);
        } catch (NoSuchFileException e) {
            throw new CtlException(CtlException.USAGE, file + ": the file does not exist; check the path");
        } catch (IOException e) {
            throw new CtlException(CtlException.USAGE, file + ": the file cannot be read: " + e);
        }
    }

    private void read(String name, BufferedReader reader) throws IOException {
        int number = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            number++;
            if (line.isBlank()) {
                continue;
            }
            int lineNumber = number;
            LogLine.parse(name, line).ifPresentOrElse(lines::add, () -> unreadable.add(name + ":" + lineNumber));
        }
    }

    private void reportUnreadable() {
        if (unreadable.isEmpty()) {
            return;
        }
        String shown = String.join(", ", unreadable.subList(0, Math.min(SHOWN_UNREADABLE, unreadable.size())));
        spec.commandLine()
                .getErr()
                .println(unreadable.size() + " lines are no JSON lines of a daemon and were left out, first: " + shown
                        + "; give logs that daemons wrote to standard output");
    }
}
