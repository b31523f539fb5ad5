package org.sardinepost.daemon;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A Java program of the test class path in a process of its own. */
final class JavaProcess implements AutoCloseable {
    private final Process process;

    JavaProcess(Path log, Class<?> main, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(arguments));
        File output = log.toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    int exitCode() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
