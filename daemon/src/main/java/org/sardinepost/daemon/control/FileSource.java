package org.sardinepost.daemon.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.CompletableFuture;

/**
 * A file that is polled for changes of its modification time, size or file key.
 *
 * <p>A file has no platform revision. Its local revision counts the changes and serves only to detect them.
 */
final class FileSource implements ValueSource {
    private static final long POLL_INTERVAL_MILLIS = 250;

    private final Path file;
    private final ControlThread control;
    private String lastFileState = "";
    private long revision;

    FileSource(Path file, ControlThread control) {
        this.file = file;
        this.control = control;
    }

    @Override
    public CompletableFuture<SourceValue> read() {
        try {
            updateRevision();
            return CompletableFuture.completedFuture(new SourceValue(revision, Files.readString(file)));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(unreadable(e));
        }
    }

    @Override
    public CompletableFuture<Long> awaitChange(long after) {
        CompletableFuture<Long> changed = new CompletableFuture<>();
        control.schedule(after == 0 ? 0 : POLL_INTERVAL_MILLIS, () -> check(changed));
        return changed;
    }

    private void check(CompletableFuture<Long> changed) {
        try {
            updateRevision();
            changed.complete(revision);
        } catch (IOException e) {
            changed.completeExceptionally(unreadable(e));
        }
    }

    private void updateRevision() throws IOException {
        BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
        String fileState = attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
        if (!fileState.equals(lastFileState)) {
            lastFileState = fileState;
            revision++;
        }
    }

    private static SourceException unreadable(IOException cause) {
        return new SourceException("the file cannot be read (" + cause + "); check its path and permissions", cause);
    }

    @Override
    public String location() {
        return file.toString();
    }

    @Override
    public void close() {
        // No resource is held between reads.
    }
}
