package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes record.txt, and keeps on which machines each task is, as the rules count it. */
final class Recorder {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;
    private final Map<String, TreeMap<String, Long>> machinesByTask = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    /** Receives the name of each task that leaves a machine, and the reason. */
    volatile java.util.function.BiConsumer<String, String> onOff = (task, why) -> {};

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void write(String who, String text) {
        out.printf("%9.3f %-10s %s%n", millis() / 1000.0, who, text);
    }

    /** Records that a rule was broken. */
    synchronized void broken(String rule, String text) {
        broken.add(rule + ": " + text);
        write("RULE", rule + " broken: " + text);
    }

    synchronized List<String> broken() {
        return List.copyOf(broken);
    }

    /** A task is on a machine from the moment it has its image. */
    synchronized void taskOn(String task, long attempt, String machine) {
        write(machine, "task " + task + " try " + attempt + " has its image and is now on " + machine);
        TreeMap<String, Long> machines = machinesByTask.computeIfAbsent(task, t -> new TreeMap<>());
        if (!machines.isEmpty() && !machines.containsKey(machine)) {
            broken("ran_twice", "task " + task + " starts on " + machine + " (try " + attempt + ") while it is on "
                    + machines);
        }
        machines.put(machine, attempt);
    }

    /** A task is on its machine until it exits, is killed, or the machine is gone. */
    synchronized void taskOff(String task, long attempt, String machine, String why) {
        TreeMap<String, Long> machines = machinesByTask.get(task);
        if (machines != null && machines.remove(machine) != null) {
            write(machine, "task " + task + " try " + attempt + " is off " + machine + ": " + why);
            onOff.accept(task, why);
        }
    }

    synchronized List<String> machinesOf(String task) {
        TreeMap<String, Long> machines = machinesByTask.get(task);
        return machines == null ? List.of() : List.copyOf(machines.keySet());
    }
}
