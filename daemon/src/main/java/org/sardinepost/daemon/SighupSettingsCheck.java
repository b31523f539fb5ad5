package org.sardinepost.daemon;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Validates the settings file again when the process receives SIGHUP.
 *
 * <p>Without a handler, the signal would terminate the process. Addresses and limits of a running daemon do not change; the
 * file is only checked and the result logged, so that an invalid file is found before the next start fails on it.
 */
final class SighupSettingsCheck {
    private SighupSettingsCheck() {}

    static void install(Path settingsFile) throws IOException, ReflectiveOperationException {
        String initialContent = Files.readString(settingsFile);
        installSighupHandler(() -> check(settingsFile, initialContent));
    }

    /** Uses reflection because the only JDK API for signals is internal and rejected by the compiler. */
    private static void installSighupHandler(Runnable action) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        InvocationHandler invocationHandler = (proxy, method, arguments) -> {
            action.run();
            return null;
        };
        Object handler =
                Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocationHandler);
        signal.getMethod("handle", signal, handlerType)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
    }

    static void check(Path settingsFile, String initialContent) {
        try {
            StartupFiles startupFiles = StartupFiles.read(settingsFile);
            if (!startupFiles.findings().isEmpty()) {
                LogEvent.SETTINGS_INVALID.warn(settingsFile, startupFiles.findings());
            } else if (Files.readString(settingsFile).equals(initialContent)) {
                LogEvent.SETTINGS_UNCHANGED.info(settingsFile);
            } else {
                LogEvent.SETTINGS_CHANGED.warn(settingsFile);
            }
        } catch (IOException e) {
            LogEvent.SETTINGS_INVALID.warn(settingsFile, e.toString());
        }
    }
}
