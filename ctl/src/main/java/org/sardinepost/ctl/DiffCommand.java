package org.sardinepost.ctl;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares two services texts by what they mean to a daemon. */
@Command(
        name = "diff",
        description = "Shows what a new services text changes, and warns if its version was not raised.")
final class DiffCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "OLD", description = "The services text in force.")
    private Path oldFile;

    @Parameters(index = "1", paramLabel = "NEW", description = "The services text to submit.")
    private Path newFile;

    @Override
    public Integer call() {
        CheckedText before = CheckedText.read(oldFile);
        CheckedText after = CheckedText.read(newFile);
        PrintWriter out = spec.commandLine().getOut();
        List<String> changes = new TextDiff(before.document(), after.document()).lines();
        changes.forEach(out::println);
        if (changes.isEmpty()) {
            out.println("no changes");
        }
        warnIfVersionWasNotRaised(before, after);
        return 0;
    }

    /** A difference in comments counts too: daemons compare the whole text if the versions are equal. */
    private void warnIfVersionWasNotRaised(CheckedText before, CheckedText after) {
        long oldVersion = before.text().version();
        boolean raised = after.text().version() > oldVersion;
        if (raised || before.content().equals(after.content())) {
            return;
        }
        spec.commandLine()
                .getErr()
                .println("warning: the texts differ, but the version was not raised; daemons would refuse the new text;"
                        + " set [text] version above " + oldVersion);
    }
}
