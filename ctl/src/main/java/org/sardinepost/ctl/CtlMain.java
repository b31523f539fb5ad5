package org.sardinepost.ctl;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Entry point of sardinepostctl. */
@Command(
        name = "sardinepostctl",
        description = "Checks and compares services texts, shows the status of a daemon and explains failed requests.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all is fine",
            "1:a text is wrong, the daemon gave no status, or a log does not tell",
            "2:usage error, or a file cannot be read"
        },
        subcommands = {CheckCommand.class, DiffCommand.class, StatusCommand.class, ExplainCommand.class})
public final class CtlMain implements Callable<Integer> {
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            scope = ScopeType.INHERIT,
            description = "Shows this help.")
    @SuppressWarnings("UnusedVariable") // picocli acts on it
    private boolean help;

    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new CtlMain()).setExecutionExceptionHandler(CtlMain::report);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "name a command: check, diff, status or explain");
    }

    private static int report(Exception failure, CommandLine commandLine, CommandLine.ParseResult parsed)
            throws Exception {
        if (failure instanceof CtlException known) {
            commandLine.getErr().println(known.getMessage());
            return known.exitCode();
        }
        throw failure;
    }
}
