package org.sardinepost.daemon.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.CompletableFuture;

/**
 * A file that is read again when its time, size or identity changes.
 *
 * <p>A file has no platform revision. The local revision counts the changes seen, which only serves to notice them.
 */
final class FileSource implements ValueSource {
    private static final long CHECK_MILLIS = 250;

    private final Path file;
    private final ControlThread control;
    private String lastMark = "";
    private long revision;

    FileSource(Path file, ControlThread control) {
        this.file = file;
        this.control = control;
    }

    @Override
    public CompletableFuture<SourceValue> read() {
        try {
            observe();
            return CompletableFuture.completedFuture(new SourceValue(revision, Files.readString(file)));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(unreadable(e));
        }
    }

    @Override
    public CompletableFuture<Long> awaitChange(long after) {
        CompletableFuture<Long> changed = new CompletableFuture<>();
        control.after(after == 0 ? 0 : CHECK_MILLIS, () -> check(changed));
        return changed;
    }

    private void check(CompletableFuture<Long> changed) {
        try {
            observe();
            changed.complete(revision);
        } catch (IOException e) {
            changed.completeExceptionally(unreadable(e));
        }
    }

    private void observe() throws IOException {
        BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
        String mark = attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
        if (!mark.equals(lastMark)) {
            lastMark = mark;
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
        // Nothing stays open between reads.
    }
}
