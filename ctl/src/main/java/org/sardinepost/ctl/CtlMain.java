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
        description =
                "Validates and compares services texts, shows the status of a daemon and explains failed requests.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:invalid services text, no status from the daemon, or logs that lack the request or have invalid lines",
            "2:usage error, or a file cannot be read"
        },
        subcommands = {CheckCommand.class, DiffCommand.class, StatusCommand.class, ExplainCommand.class})
public final class CtlMain implements Callable<Integer> {
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            scope = ScopeType.INHERIT,
            description = "Shows this help.")
    @SuppressWarnings("UnusedVariable") // read by picocli
    private boolean help;

    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new CtlMain()).setExecutionExceptionHandler(CtlMain::handleException);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "missing command; use check, diff, status or explain");
    }

    private static int handleException(Exception failure, CommandLine commandLine, CommandLine.ParseResult parseResult)
            throws Exception {
        if (failure instanceof CtlException expected) {
            commandLine.getErr().println(expected.getMessage());
            return expected.exitCode();
        }
        throw failure;
    }
}
