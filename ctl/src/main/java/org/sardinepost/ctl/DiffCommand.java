package org.sardinepost.ctl;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares the effective values of two services texts. */
@Command(
        name = "diff",
        description = "Shows the changes in a new services text, and warns if its version was not increased.")
final class DiffCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "OLD", description = "The current services text.")
    private Path oldFile;

    @Parameters(index = "1", paramLabel = "NEW", description = "The new services text.")
    private Path newFile;

    @Override
    public Integer call() {
        ServicesTextFile oldText = ServicesTextFile.load(oldFile);
        ServicesTextFile newText = ServicesTextFile.load(newFile);
        PrintWriter out = spec.commandLine().getOut();
        List<String> changes = new TextDiff(oldText.document(), newText.document()).lines();
        changes.forEach(out::println);
        if (changes.isEmpty()) {
            out.println("no changes");
        }
        warnIfVersionNotIncreased(oldText, newText);
        return 0;
    }

    /** Compares the whole content, including comments, because daemons do so too if the versions are equal. */
    private void warnIfVersionNotIncreased(ServicesTextFile oldText, ServicesTextFile newText) {
        long oldVersion = oldText.text().version();
        boolean increased = newText.text().version() > oldVersion;
        if (increased || oldText.content().equals(newText.content())) {
            return;
        }
        spec.commandLine()
                .getErr()
                .println("warning: the texts differ without an increased version; daemons will reject the new text;"
                        + " set [text] version above " + oldVersion);
    }
}
