package org.sardinepost.standins;

import org.sardinepost.standins.configuration.ConfigurationCommand;
import org.sardinepost.standins.load.LoadCommand;
import org.sardinepost.standins.load.OverheadCommand;
import org.sardinepost.standins.upstream.UpstreamCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Entry point of the stand-ins, which replace the systems around sardinepost in bin/local and in tests. */
@Command(
        name = "standins",
        mixinStandardHelpOptions = true,
        description = "Stand-ins for upstreams, the configuration service and callers.",
        subcommands = {
            UpstreamCommand.class,
            ConfigurationCommand.class,
            LoadCommand.class,
            OverheadCommand.class,
            WaitCommand.class
        })
public final class StandinsMain implements Runnable {
    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        int exitCode = new CommandLine(new StandinsMain()).execute(args);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "missing command; use upstream, configuration, load, overhead or wait");
    }
}
