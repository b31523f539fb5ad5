package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies that SIGHUP, with which an operator has the settings checked, does not terminate the daemon. */
final class SighupSettingsCheckTest {
    @TempDir
    Path directory;

    /** Sends the signal to the test process itself, which would terminate without a handler. */
    @Test
    void processSurvivesSighup() throws Exception {
        Path settingsFile = directory.resolve("daemon.ini");
        Files.writeString(settingsFile, "[daemon]\n");
        SighupSettingsCheck.install(settingsFile);
        Process kill = new ProcessBuilder(
                        "kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
                .start();

        assertThat(kill.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(kill.exitValue()).isEqualTo(0);
    }
}
