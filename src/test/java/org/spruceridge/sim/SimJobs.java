package org.spruceridge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;

/** Messages of users and workers. Scenarios send them unchanged or with some fields changed. */
public final class SimJobs {
    private SimJobs() {}

    /** The id of the job with this number. */
    public static String id(int number) {
        return String.format("j-%06d", number);
    }

    /** An array job whose tasks use 4 CPUs and run for 5 s each. */
    public static ObjectNode array(int number, int tasks) {
        return Json.object()
                .put("nameId", id(number))
                .put("lot", "nightly")
                .put("crew", "red")
                .put("shape", "sweep")
                .put("rank", "normal")
                .put("parts", tasks)
                .put("cpus", 4.0)
                .put("accelerators", 0.0)
                .put("memGb", 4.0)
                .put("bundle", "img-1")
                .put("pullGb", 1.0)
                .putNull("builds")
                .putNull("grove")
                .put("samePlace", false)
                .put("scatter", false)
                .put("windfall", true)
                .put("expectS", 5.0)
                .put("markEveryS", 0.0)
                .put("markS", 0.0)
                .putNull("dueS");
    }

    /** A service whose replicas use 2 CPUs each. */
    public static ObjectNode service(int number, int replicas) {
        return array(number, replicas)
                .put("lot", "portal")
                .put("shape", "standing")
                .put("rank", "production")
                .put("cpus", 2.0)
                .put("windfall", false)
                .put("expectS", 0.0);
    }

    /** A heartbeat of an idle worker that has not received a fencing token yet. */
    public static ObjectNode heartbeat(String machine, int sequence) {
        ObjectNode node = Json.object()
                .put("host", machine)
                .put("endpoint", "10.1.0.9:9000")
                .put("build", "t8")
                .put("grove", "z1")
                .put("windfall", false)
                .put("watch", 1)
                .put("tally", sequence)
                .put("warrant", 0);
        node.putArray("parts");
        return node;
    }
}
