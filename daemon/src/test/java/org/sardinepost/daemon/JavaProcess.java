package org.sardinepost.daemon;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Runs a main class of the test class path in a separate process. */
final class JavaProcess implements AutoCloseable {
    private static final Set<Integer> returnedPorts = ConcurrentHashMap.newKeySet();

    private final Process process;

    JavaProcess(Path logFile, Class<?> mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        File outputFile = logFile.toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile))
                .start();
    }

    /** Returns a port not returned before in this JVM, as the kernel may allocate a released port again at once. */
    static int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                int port = socket.getLocalPort();
                if (returnedPorts.add(port)) {
                    return port;
                }
            }
        }
    }

    void sendSignal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    int waitForExitCode() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
