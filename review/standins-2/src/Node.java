import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One controller: a separate process, started by the run line of the deploy file. */
final class Node {
    private Path repository;
    private final Path folder;
    private final Record record;
    private final String name;
    private final String zone;
    private final int servePort;
    private final int peerPort;
    private Path settings;
    private Process process;

    Node(Path repository, Path folder, Record record, String name, String zone) throws IOException {
        this.repository = repository;
        this.folder = folder;
        this.record = record;
        this.name = name;
        this.zone = zone;
        this.servePort = freePort();
        this.peerPort = freePort();
    }

    /**
     * A free port below the range from which the system takes ports of its own choice, so that no other socket gets the
     * port while the process of this node is down.
     */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue; // in use
            }
        }
        throw new IOException("no free port");
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    int servePort() {
        return servePort;
    }

    int peerPort() {
        return peerPort;
    }

    void writeSettings(List<Object> members, String state, String cloud, Map<String, Object> facts) throws IOException {
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(Json.of(
                "host_name", name, "domain", zone, "serve_on", "127.0.0.1:" + servePort,
                "peer_listen", "127.0.0.1:" + peerPort, "members", members,
                "endpoints", Json.of("cloud", cloud, "state", state), "facts", facts)));
    }

    /** From its next start on, the node runs the program that was built in this folder. */
    void setRepository(Path newRepository) {
        repository = newRepository;
    }

    void start() throws IOException {
        if (isAlive()) {
            throw new IllegalStateException(name + " runs already");
        }
        String deploy = Files.readString(repository.resolve("deploy/service.toml"), StandardCharsets.UTF_8);
        String run = deploy.lines().filter(line -> line.startsWith("run = \"")).findFirst().orElseThrow();
        List<String> command = new ArrayList<>(List.of(run.substring(7, run.lastIndexOf('"')).split(" ")));
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        record.line("node " + name + " started");
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            record.line("node " + name + " killed");
            process = null;
        }
    }

    /** Sends STOP or CONT to the process. */
    void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        record.line("node " + name + " signal " + signal);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    Path log() {
        return folder.resolve(name + ".log");
    }
}
