package review;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A direct start was carried out, and its task failed and was forgotten. The leader's process ends and is started again
 * at once. Then a repeat of that direct command arrives.
 */
final class RepeatedCommand extends Case {
    private final AtomicReference<Http.Message> carriedOut = new AtomicReference<>();

    public static void main(String[] arguments) {
        run(new RepeatedCommand(), "ran_twice", arguments);
    }

    @Override
    void play() throws Exception {
        Site site = new Site(root, recorder, 2);
        // The first machine fails the first attempt, as a faulty machine does.
        Worker spot = site.addWorker("i-000001", "akl-north", true, site.nodePorts(), new Worker.Ending() {
            private boolean failed;

            @Override
            public synchronized Map.Entry<Double, String> of(String part, long attempt) {
                boolean fails = !failed;
                failed = true;
                return Map.entry(fails ? 0.3 : 40.0, fails ? "error" : "done");
            }
        });
        spot.setEndpointPort(Http.proxy("link-i-000001", spot.port(), new Http.Hook() {
                    @Override
                    public void response(Http.Message request, Http.Message response) {
                        if (response.status() == 200 && request.text().contains("\"start\",\"part\":\"j-000001/0\"")) {
                            carriedOut.compareAndSet(null, request);
                        }
                    }
                })
                .port());
        Worker ordinary =
                site.addWorker("i-000002", "wlg-central", false, site.nodePorts(), (part, attempt) -> Map.entry(40.0, "done"));
        site.start();
        Site.Node leader = site.leader();

        site.submit(leader, site.job("j-000001", 1, true));
        site.await("the direct start of j-000001/0 on i-000001 was carried out", 20_000, () -> carriedOut.get() != null);
        long attempt = Json.num(Json.objects(carriedOut.get().json().get("orders")).get(0), "try", -1);
        site.await("j-000001/0 runs on i-000002, and i-000001 has forgotten it", 20_000,
                () -> recorder.machinesOf("j-000001/0").contains(ordinary.name())
                        && spot.stage("j-000001/0", attempt) == null);
        if (trouble) {
            leader.kill();
            Http.sleep(200);
            leader.start();
            Http.sleep(300);
            recorder.write("link", "a repeat of the direct command arrives at i-000001: " + carriedOut.get().text());
            Http.Message answer = Http.call(spot.port(), carriedOut.get(), 4000);
            recorder.write("link", "answer: " + answer.status() + " " + answer.text());
        }
        Http.sleep(3000);
        site.close();
    }
}
