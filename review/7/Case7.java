import java.util.List;
import java.util.Map;

/**
 * Connections between the controllers are refused. A job is accepted and its tasks run. No node may call the job pending
 * once one of its tasks has been running for more than 3 s.
 */
public final class Case7 {
    private static final String JOB = "j-000412";

    private Case7() {}

    public static void main(String[] args) {
        Cluster.main(
                args, Settings.kahurangi(), List.of("akl-north", "wlg-central", "akl-north"), false, Case7::run);
    }

    private static boolean run(Cluster cluster, boolean trouble) throws Exception {
        cluster.cloud().addBuild(Settings.tuiQuad());
        for (int i = 0; i < 9; i++) {
            String zone = List.of("akl-north", "wlg-central", "chc-south").get(i % 3);
            cluster.cloud().addRunning("tui-quad", zone, false);
        }
        cluster.setRuns(part -> 60);
        cluster.startNodes();
        Http.sleep(5);
        if (trouble) {
            for (String node : cluster.nodeNames()) {
                cluster.peerProxy(node).set(Proxy.Mode.RESET);
            }
            cluster.record().line("connections between controllers are refused from now on");
        }
        Map<String, Object> job = Settings.job(JOB, "statement-builds", "ledger-team-00", "normal", 6, 1, 3.4);
        cluster.users().submit(job);
        cluster.await("all tasks run", 20, () -> cluster.rules().onMachineCount(JOB) == 6);
        double runningSince = cluster.record().seconds();
        boolean broken = false;
        while (cluster.record().seconds() < runningSince + 30) {
            for (String node : cluster.nodeNames()) {
                double askedAt = cluster.record().seconds();
                Http.Response response = cluster.users().request(node, "GET", "/api/jobs/" + JOB, "", 2000);
                cluster.record().line("poll at " + node + " -> " + response.status() + " " + response.body());
                boolean pending = response.status() == 200
                        && Json.object(response.body()).get("stage").equals("pending");
                if (pending && askedAt - runningSince > 3) {
                    broken = true;
                    cluster.record().line("RULE BROKEN " + node + " says pending "
                            + (askedAt - runningSince) + " s after all tasks were running");
                }
            }
            Http.sleep(1);
        }
        return broken;
    }
}
