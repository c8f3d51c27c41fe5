package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Two jobs that were submitted with a mistake fail on both machines, until their users cancel them. */
final class MistakenJobs extends Case {
    private static final long MAX_WAIT_MS = 90_000;

    public static void main(String[] arguments) {
        run(new MistakenJobs(), "left_waiting", arguments);
    }

    @Override
    void play() throws Exception {
        Site site = new Site(root, recorder, 2);
        Worker.Ending ending = (part, attempt) -> {
            if (part.startsWith("j-000001/")) {
                return Map.entry(1000.0, "stopped"); // a replica runs until it is stopped
            }
            boolean mistaken = part.startsWith("j-000002/") || part.startsWith("j-000003/");
            return mistaken ? Map.entry(0.5, "error") : Map.entry(10.0, "done");
        };
        site.addWorker("i-000001", "akl-north", false, site.nodePorts(), ending);
        site.addWorker("i-000002", "wlg-central", false, site.nodePorts(), ending);
        site.start();
        Site.Node node = site.leader();

        Map<String, Object> service = site.job("j-000001", 1, false);
        service.putAll(Json.of("lot", "member-portal", "shape", "standing", "rank", "production", "parts", 2, "scatter", true,
                "expectS", 0.0));
        site.submit(node, service);
        site.await("a replica runs on each machine", 20_000, () -> {
            List<String> machines = new ArrayList<>(recorder.machinesOf("j-000001/0"));
            machines.addAll(recorder.machinesOf("j-000001/1"));
            return machines.contains("i-000001") && machines.contains("i-000002");
        });
        if (trouble) {
            site.submit(node, site.job("j-000002", 1, false));
            site.submit(node, site.job("j-000003", 1, false));
            Http.sleep(9000);
            site.abort(node, "j-000002");
            site.abort(node, "j-000003");
            recorder.write("case", "the mistaken jobs are cancelled; from now on, no task fails");
        }
        site.submit(node, site.job("j-000004", 1, false));
        long since = recorder.millis();
        while (recorder.machinesOf("j-000004/0").isEmpty() && recorder.millis() - since < MAX_WAIT_MS) {
            Http.sleep(5000);
            site.poll(node, "j-000004");
        }
        if (recorder.machinesOf("j-000004/0").isEmpty()) {
            recorder.broken("left_waiting", "j-000004 has waited for over 90 s, while both machines had 3 of 4 CPUs free");
        }
        site.close();
    }
}
