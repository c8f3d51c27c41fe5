package review;

import java.nio.file.Path;
import java.util.List;

/** Runs one case: exit code 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    Recorder recorder;
    Path root;
    /** False with TROUBLE=0: the same without the disruption. */
    boolean trouble;

    /** Plays the case. Broken rules go to the recorder. */
    abstract void play() throws Exception;

    static void run(Case played, String rule, String[] arguments) {
        int code = 2;
        try {
            played.root = Path.of(arguments[0]).toAbsolutePath();
            played.recorder = new Recorder(Path.of(arguments[1]).resolve("record.txt"));
            played.trouble = !"0".equals(System.getenv("TROUBLE"));
            played.recorder.write("case", "rule " + rule + ", disruption " + (played.trouble ? "on" : "off"));
            played.play();
            List<String> broken = played.recorder.broken().stream().filter(b -> b.startsWith(rule)).toList();
            code = broken.isEmpty() ? 0 : 1;
            played.recorder.write("case", broken.isEmpty() ? "the rule held" : "the rule was broken: " + broken);
            System.out.println(broken.isEmpty() ? "held: " + rule : "broken: " + broken);
        } catch (Exception e) {
            if (played.recorder != null) {
                played.recorder.write("case", "could not run: " + e);
            }
            System.out.println("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(code);
    }
}
