package org.sardinepost.bench.capacity;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;

/** Prints the slopes of docs/CAPACITY.md as a Markdown table. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures cost over size at three sizes and prints the slopes.")
public final class CapacityCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.out.println("| what | size | unit | measured | fixed | per unit of size |");
        System.out.println("|---|---|---|---|---|---|");
        Stream.of(TextSlopes.measure(), DispatcherSlopes.measure(), TokenSlopes.measure(), PeerSlopes.measure())
                .flatMap(List::stream)
                .map(Slope::row)
                .forEach(System.out::println);
        return 0;
    }
}
