package org.sardinepost.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of the daemon program. */
@Command(name = "sardinepostd", description = "Balances calls over upstreams.", mixinStandardHelpOptions = true)
public final class DaemonMain implements Callable<Integer> {
    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings of this daemon.")
    private Path settingsFile;

    private DaemonMain() {}

    public static void main(String[] args) {
        System.exit(new CommandLine(new DaemonMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        StartFiles files = StartFiles.read(settingsFile);
        if (!files.findings().isEmpty()) {
            files.findings().forEach(finding -> System.err.println(finding));
            return CommandLine.ExitCode.SOFTWARE;
        }
        Daemon daemon = new Daemon(files.settings().orElseThrow());
        files.text().ifPresent(daemon::apply);
        daemon.start();
        Thread.currentThread().join();
        return CommandLine.ExitCode.OK;
    }
}
