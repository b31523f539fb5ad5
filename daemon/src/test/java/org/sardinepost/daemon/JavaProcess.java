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
import java.util.concurrent.ThreadLocalRandom;

/** Runs a main class of the test class path in a separate process. */
final class JavaProcess implements AutoCloseable {
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final Set<Integer> returnedPorts = ConcurrentHashMap.newKeySet();

    private final Process process;

    JavaProcess(Path logFile, Class<?> mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
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

    /**
     * Returns a port not returned before in this JVM, below the range from which the kernel allocates ports: a port of that
     * range may be allocated to any connection before the process binds it.
     */
    static int freePort() throws IOException {
        while (true) {
            int port = MIN_PORT + ThreadLocalRandom.current().nextInt(MAX_PORT - MIN_PORT);
            if (returnedPorts.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
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
