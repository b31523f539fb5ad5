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

/** Shows how daemons handled a request, according to their logs. */
@Command(
        name = "explain",
        description =
                "Shows from the logs of all daemons how a request was handled, followed by the cause of its outcome.")
final class ExplainCommand implements Callable<Integer> {
    /** The number of unreadable lines whose positions are printed; further ones are only counted. */
    private static final int MAX_LISTED_LINES = 5;

    @Parameters(index = "0", paramLabel = "ID", description = "The id of the request, from the field id of the log.")
    private String id;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Logs of daemons; defaults to standard input.")
    private List<Path> files = List.of();

    @Spec
    private CommandSpec spec;

    private final List<LogLine> lines = new ArrayList<>();
    private final List<String> unreadableLines = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        if (files.isEmpty()) {
            read("standard input", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        }
        for (Path file : files) {
            read(file);
        }
        List<String> timeline = new RequestTimeline(lines).describe(id);
        timeline.forEach(spec.commandLine().getOut()::println);
        printUnreadableLines();
        if (timeline.isEmpty()) {
            throw new CtlException(
                    CtlException.EXIT_FAILURE,
                    "no log line refers to request " + id + "; pass the logs of all daemons, and check the id"
                            + " (daemons omit lines beyond [log] call-lines, see field left-out)");
        }
        return unreadableLines.isEmpty() ? 0 : CtlException.EXIT_FAILURE;
    }

    private void read(Path file) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            read(file.toString(), reader);
        } catch (NoSuchFileException e) {
            throw new CtlException(CtlException.EXIT_USAGE, file + ": the file does not exist; check the path");
        } catch (IOException e) {
            throw new CtlException(CtlException.EXIT_USAGE, file + ": the file cannot be read: " + e);
        }
    }

    private void read(String name, BufferedReader reader) throws IOException {
        int lineCount = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            lineCount++;
            if (line.isBlank()) {
                continue;
            }
            int lineNumber = lineCount;
            LogLine.parse(name, line).ifPresentOrElse(lines::add, () -> unreadableLines.add(name + ":" + lineNumber));
        }
    }

    private void printUnreadableLines() {
        if (unreadableLines.isEmpty()) {
            return;
        }
        String listed =
                String.join(", ", unreadableLines.subList(0, Math.min(MAX_LISTED_LINES, unreadableLines.size())));
        spec.commandLine()
                .getErr()
                .println(unreadableLines.size() + " lines are not JSON log lines of a daemon and were skipped, first: "
                        + listed + "; pass logs that daemons wrote to standard output");
    }
}
