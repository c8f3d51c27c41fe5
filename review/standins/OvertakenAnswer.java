package review;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The answer to a report carries a start and is held up for 3 s. Meanwhile the report in the answer to a direct command
 * reaches the leader. It has a notice and does not list the task yet.
 */
final class OvertakenAnswer extends Case {
    private static final long COMMAND_DELAY_MS = 2000;
    private static final long ANSWER_DELAY_MS = 3000;

    private final AtomicBoolean answerOnItsWay = new AtomicBoolean();

    public static void main(String[] arguments) {
        run(new OvertakenAnswer(), "ran_twice", arguments);
    }

    @Override
    void play() throws Exception {
        Site site = new Site(root, recorder, 2);
        Worker.Ending runs40s = (part, attempt) -> Map.entry(40.0, "done");
        Map<String, Integer> links = new LinkedHashMap<>();
        for (Map.Entry<String, Integer> node : site.nodePorts().entrySet()) {
            links.put(node.getKey(), Http.proxy("link-" + node.getKey(), node.getValue(), answers()).port());
        }
        Worker spot = site.addWorker("i-000001", "akl-north", true, links, runs40s);
        spot.setEndpointPort(Http.proxy("link-i-000001", spot.port(), commands()).port());
        Worker ordinary = site.addWorker("i-000002", "wlg-central", false, site.nodePorts(), runs40s);
        site.start();
        Site.Node node = site.leader();

        site.submit(node, site.job("j-000001", 1, true));
        site.await("j-000001/0 is on i-000001", 20_000, () -> recorder.machinesOf("j-000001/0").contains("i-000001"));
        site.await("i-000001 reports in a second", 20_000,
                () -> !spot.isReporting() && spot.untilReportMs() > 950 && spot.untilReportMs() < 1050);
        long reportAt = recorder.millis() + spot.untilReportMs();
        site.submit(node, site.job("j-000002", 1, true));
        Http.sleep(350);
        site.submit(node, site.job("j-000003", 1, true));
        Http.sleep(reportAt + 300 - recorder.millis());
        if (trouble) {
            site.await("the answer with the start of j-000003/0 is on its way", 500, answerOnItsWay::get);
        }
        spot.notice(10);
        long until = recorder.millis() + 8000;
        while (recorder.millis() < until && recorder.broken().isEmpty()) {
            Http.sleep(20);
        }
        Http.sleep(until - recorder.millis() > 0 ? 2000 : 0); // the record shows how it goes on
        site.cloud.take(spot.name());
        site.await("j-000003/0 runs on i-000002", 15_000,
                () -> recorder.machinesOf("j-000003/0").contains(ordinary.name()));
        site.close();
    }

    /** Holds up the direct command that starts j-000002/0. */
    private Http.Hook commands() {
        return new Http.Hook() {
            @Override
            public void request(Http.Message request) {
                if (trouble && request.path().equals("/do") && request.text().contains("\"start\",\"part\":\"j-000002/0\"")) {
                    recorder.write("link", "the direct command to i-000001 is held up for " + COMMAND_DELAY_MS
                            + " ms: " + request.text());
                    Http.sleep(COMMAND_DELAY_MS);
                }
            }
        };
    }

    /** Holds up the answer that starts j-000003/0, for less than the worker waits. */
    private Http.Hook answers() {
        return new Http.Hook() {
            @Override
            public void response(Http.Message request, Http.Message response) throws IOException {
                if (trouble && response.text().contains("\"start\",\"part\":\"j-000003/0\"")
                        && answerOnItsWay.compareAndSet(false, true)) {
                    recorder.write("link", "the answer to i-000001 is held up for " + ANSWER_DELAY_MS + " ms: "
                            + response.text());
                    Http.sleep(ANSWER_DELAY_MS);
                }
            }
        };
    }
}
