import java.util.List;
import java.util.Map;

/**
 * A job is submitted whose task needs a little more than the largest machine has. It must get 422, or run. It must not be
 * accepted and then be refused by every worker for ever.
 */
public final class Case8 {
    private static final String JOB = "j-000412";

    private Case8() {}

    public static void main(String[] args) {
        Cluster.main(
                args, Settings.kahurangi(), List.of("akl-north", "wlg-central", "akl-north"), false, Case8::run);
    }

    private static boolean run(Cluster cluster, boolean trouble) throws Exception {
        cluster.cloud().addBuild(Settings.tuiQuad());
        for (String zone : List.of("akl-north", "wlg-central", "chc-south")) {
            cluster.cloud().addRunning("tui-quad", zone, false);
        }
        cluster.setRuns(part -> 15);
        cluster.startNodes();
        Http.sleep(5);
        Map<String, Object> job = Settings.job(
                JOB, "interest-runs", "ledger-team-00", "high", 1, trouble ? 4.0000005 : 4.0, 9.1);
        job.put("expectS", 15.0);
        job.put("pullGb", 1.2);
        int status = cluster.users().submit(job);
        if (status == 422) {
            return false;
        }
        if (status != 200 && status != 201) {
            throw new Cluster.CannotRun("the submission got " + status);
        }
        cluster.awaitOrNot(75, () -> "done".equals(cluster.users().finalStage(JOB)));
        int refused = cluster.rules().refusedCount(JOB);
        cluster.record().line("starts of " + JOB + " " + cluster.rules().startCount(JOB) + ", refused " + refused);
        return cluster.rules().startCount(JOB) == 0 && refused > 0;
    }
}
