package org.sardinepost.bench.capacity;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;

/** Prints the linear cost models that docs/CAPACITY.md uses as a Markdown table. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures cost over size at three sizes and prints the slopes.")
public final class CapacityCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.out.println("| what | size | unit | measured | fixed | per unit of size |");
        System.out.println("|---|---|---|---|---|---|");
        Stream.of(
                        ServicesTextCosts.measure(),
                        DispatcherCosts.measure(),
                        TokenTableCosts.measure(),
                        LoadBatchCosts.measure())
                .flatMap(List::stream)
                .map(LinearFit::toMarkdownRow)
                .forEach(System.out::println);
        return 0;
    }
}
