package org.sardinepost.daemon;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.log.LogShutdown;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of the daemon program. */
@Command(
        name = "sardinepostd",
        description = "Balances calls across upstreams.",
        mixinStandardHelpOptions = true,
        version = "sardinepostd 0.1.0",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:success", "1:invalid settings or services text, or start failed", "2:usage error"})
public final class DaemonMain implements Callable<Integer> {
    @Option(names = "--settings", paramLabel = "FILE", description = "Settings of this daemon.")
    private Path settingsFile;

    @Option(names = "--self-test", description = "Start on free loopback ports, serve test calls and stop.")
    private boolean selfTest;

    @Option(names = "--check", description = "Only validate the settings and, if they name a file, the services text.")
    private boolean checkOnly;

    private final Function<DaemonSettings, Daemon> daemonFactory;

    private DaemonMain(Function<DaemonSettings, Daemon> daemonFactory) {
        this.daemonFactory = daemonFactory;
    }

    public static void main(String[] args) {
        run(Daemon::new, args);
    }

    /** Runs the command and exits. The factory chooses the components of the daemon. */
    public static void run(Function<DaemonSettings, Daemon> daemonFactory, String... args) {
        int exitCode = new CommandLine(new DaemonMain(daemonFactory)).execute(args);
        LogShutdown.flushAndClose();
        System.exit(exitCode);
    }

    @Override
    public Integer call() throws Exception {
        if (selfTest) {
            return selfTest();
        }
        if (settingsFile == null) {
            System.err.println("Missing required option: '--settings=FILE'");
            return CommandLine.ExitCode.USAGE;
        }
        if (!checkOnly) {
            installSighupHandler();
        }
        StartupFiles startupFiles = StartupFiles.read(settingsFile);
        if (!startupFiles.findings().isEmpty()) {
            startupFiles.findings().forEach(finding -> System.err.println(finding));
            return CommandLine.ExitCode.SOFTWARE;
        }
        if (checkOnly) {
            System.out.println("no errors found");
            return CommandLine.ExitCode.OK;
        }
        return serve(startupFiles);
    }

    /** Installs the handler before anything else, since until then SIGHUP ends the process. */
    private void installSighupHandler() {
        try {
            SighupSettingsCheck.install(settingsFile);
        } catch (IOException | ReflectiveOperationException e) {
            LogEvent.SIGHUP_HANDLER_NOT_INSTALLED.warn(e);
        }
    }

    private int selfTest() throws Exception {
        boolean passed = new SelfTest(daemonFactory).passes();
        System.out.println(passed ? "self-test passed" : "self-test failed: a call was not answered");
        return passed ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private int serve(StartupFiles startupFiles) throws InterruptedException {
        DaemonSettings settings = startupFiles.settings().orElseThrow();
        OptimizingCompiler.disableInSmallHeap();
        Daemon daemon;
        try {
            ServerSocketChannel listener = EarlyListener.bind(settings.callerAddress());
            daemon = daemonFactory.apply(settings);
            daemon.setCallerListener(listener);
            daemon.start();
        } catch (Exception e) {
            LogEvent.START_FAILED.error(e, e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
        GracefulShutdownHook.install(daemon);
        Thread.currentThread().join();
        return CommandLine.ExitCode.OK;
    }
}
