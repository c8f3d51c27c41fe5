import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The facts of the two small deployments, as their pages give them. */
final class Settings {
    private Settings() {}

    /** Kahurangi: 3 controllers, reports every 3 s, leases of 22 s, cancellations within 42 s. */
    static Map<String, Object> kahurangi() {
        List<Object> teams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            teams.add(team("ledger-team-0" + i, 0, 0));
        }
        return facts(
                List.of("akl-north", "chc-south", "wlg-central"),
                teams,
                List.of(
                        Json.of("kind", "deadline", "class", "statement-builds", "share", 0.88, "times", 1.0),
                        Json.of("kind", "finished", "class", "archive-sweeps", "within_s", 150.0, "share", 0.85),
                        Json.of("kind", "deadline", "class", "interest-runs", "share", 0.9, "times", 1.0),
                        Json.of("kind", "wait", "class", "interest-runs", "within_s", 5.0, "share", 0.9)),
                Json.of("report_s", 3.0, "lease_s", 22.0, "gang_wait_s", 45.0, "gang_peer_s", 6.0, "cancel_s", 42.0),
                Json.of("rps", 200.0, "write_rps", 50.0, "value_kb", 8.0, "txn_ops", 24),
                Json.of("rps", 6.0, "list_lag_s", 10.0),
                Json.of("core_share", 0.255, "mem_mb", 263.0, "max_sockets", 3000),
                25.0);
    }

    /** Quipu: 3 controllers, reports every 1.5 s, leases of 12 s, cancellations within 32 s. */
    static Map<String, Object> quipu() {
        return facts(
                List.of("lima-miraflores", "lima-surquillo"),
                List.of(
                        team("linguistics", 56, 160),
                        team("ingest", 40, 160),
                        team("quality", 16, 48),
                        team("platform", 32, 56)),
                List.of(
                        Json.of("kind", "deadline", "class", "segment-align", "share", 0.88, "times", 1.0),
                        Json.of("kind", "finished", "class", "index-rebuild", "within_s", 120.0, "share", 0.9),
                        Json.of("kind", "deadline", "class", "corpus-clean", "share", 0.88, "times", 1.0)),
                Json.of("report_s", 1.5, "lease_s", 12.0, "gang_wait_s", 50.0, "gang_peer_s", 5.0, "cancel_s", 32.0),
                Json.of("rps", 120.0, "write_rps", 20.0, "value_kb", 4.0, "txn_ops", 12),
                Json.of("rps", 4.0, "list_lag_s", 5.0),
                Json.of("core_share", 0.204, "mem_mb", 176.0, "max_sockets", 900),
                1000.0);
    }

    static Map<String, Object> tuiQuad() {
        return build("tui-quad", 4, 16, 0.2, 0.06, List.of("akl-north", "wlg-central", "chc-south"));
    }

    static Map<String, Object> condorOcto() {
        return build("condor-octo", 8, 16, 0.5, 0.11, List.of("lima-miraflores", "lima-surquillo"));
    }

    private static Map<String, Object> build(
            String name, double cpus, double memGb, double rate, double lowPrice, List<Object> zones) {
        return Json.of(
                "name", name, "cpus", cpus, "accelerators", 0.0, "memGb", memGb, "localGb", 70.0,
                "fetchGbPerS", 1.0, "rate", rate, "lowPrice", lowPrice, "startupS", 20.0, "groves", zones);
    }

    private static Map<String, Object> team(String name, double cpus, double cpusMax) {
        return Json.of("name", name, "cpus", cpus, "cpus_max", cpusMax, "gpus", 0.0, "gpus_max", 0.0);
    }

    private static Map<String, Object> facts(
            List<Object> zones, List<Object> teams, List<Object> objectives, Map<String, Object> workers,
            Map<String, Object> state, Map<String, Object> cloud, Map<String, Object> resources, double bound) {
        return Json.of(
                "initial_size", 3, "zones", zones, "teams", teams, "objectives", objectives, "workers", workers,
                "state", state, "cloud", cloud, "resources", resources, "time_bound_ms", bound);
    }

    /** An array job of the class statement-builds; change the fields that a case needs. */
    static Map<String, Object> job(String id, String lot, String crew, String rank, int parts, double cpus, double gb) {
        return Json.of(
                "nameId", id, "lot", lot, "crew", crew, "shape", "sweep", "rank", rank, "parts", parts, "cpus", cpus,
                "accelerators", 0.0, "memGb", gb, "bundle", "img-" + lot, "pullGb", 0.7, "builds", null,
                "grove", null, "samePlace", false, "scatter", false, "windfall", true, "expectS", 60.0,
                "markEveryS", 0.0, "markS", 0.0, "dueS", null);
    }

    static Map<String, Object> service(String id, String lot, String crew, int parts, double cpus, double gb) {
        Map<String, Object> service = job(id, lot, crew, "production", parts, cpus, gb);
        service.put("shape", "standing");
        service.put("expectS", 0.0);
        service.put("windfall", false);
        return service;
    }
}
