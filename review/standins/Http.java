package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** HTTP/1.1 over blocking sockets on loopback: messages, a server, a client connection and a proxy. */
final class Http {
    static final String LOCAL = "127.0.0.1";
    private static final Random PORTS = new Random();

    private Http() {}

    /** A request or a response, with its body. */
    static final class Message {
        String start;
        final List<String> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name, String otherwise) {
            int at = target().indexOf('?');
            if (at >= 0) {
                for (String pair : target().substring(at + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return pair.substring(name.length() + 1);
                    }
                }
            }
            return otherwise;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        Map<String, Object> json() {
            return Json.object(text());
        }

        boolean closes() {
            return headers.stream().anyMatch(h -> h.toLowerCase().replace(" ", "").equals("connection:close"));
        }

        byte[] encode() throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write((start + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (String header : headers) {
                out.write((header + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            return out.toByteArray();
        }
    }

    static Message request(String method, String target, String body) {
        Message message = new Message();
        message.start = method + " " + target + " HTTP/1.1";
        message.body = body.getBytes(StandardCharsets.UTF_8);
        message.headers.add("Host: " + LOCAL);
        message.headers.add("Content-Type: application/json");
        message.headers.add("Content-Length: " + message.body.length);
        return message;
    }

    static Message response(int status, String body) {
        Message message = new Message();
        message.start = "HTTP/1.1 " + status + " x";
        message.body = body.getBytes(StandardCharsets.UTF_8);
        message.headers.add("Content-Type: application/json");
        message.headers.add("Content-Length: " + message.body.length);
        return message;
    }

    static Message response(int status, Map<String, Object> body) {
        return response(status, Json.write(body));
    }

    /** Reads one message; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.start = start;
        int length = 0;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            message.headers.add(header);
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        message.body = in.readNBytes(length);
        if (message.body.length < length) {
            throw new EOFException();
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A free port below the range from which the system takes the ports of clients. */
    static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + PORTS.nextInt(10_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOCAL))) {
                return port;
            } catch (IOException e) {
                // in use: the next one
            }
        }
        throw new IOException("no free port");
    }

    /** Answers requests; null closes the connection without an answer. */
    interface Handler {
        Message handle(Message request) throws Exception;
    }

    /** A server with one thread for each connection. */
    static final class Server {
        private final ServerSocket socket;
        private volatile boolean closed;
        private final List<Socket> open = new ArrayList<>();

        Server(String name, Handler handler) throws IOException {
            socket = new ServerSocket(0, 200, InetAddress.getByName(LOCAL));
            daemon(name, () -> {
                while (!closed) {
                    try {
                        Socket client = socket.accept();
                        synchronized (open) {
                            open.add(client);
                        }
                        daemon(name + "-c", () -> serve(client, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Stops listening and resets all connections, as if the host were gone. */
        void close() {
            closed = true;
            quietly(socket);
            synchronized (open) {
                open.forEach(Http::quietly);
                open.clear();
            }
        }

        private void serve(Socket client, Handler handler) {
            try (client) {
                client.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(client.getInputStream());
                for (Message request = read(in); request != null && !closed; request = read(in)) {
                    Message response = handler.handle(request);
                    if (response == null) {
                        return;
                    }
                    client.getOutputStream().write(response.encode());
                    client.getOutputStream().flush();
                    if (request.closes()) {
                        return;
                    }
                }
            } catch (IOException e) {
                // the peer has gone
            } catch (Exception e) {
                e.printStackTrace();
            } finally {
                synchronized (open) {
                    open.remove(client);
                }
            }
        }
    }

    private static void quietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // nothing to do
        }
    }

    /** One persistent client connection, which is opened when it is first used and again after a failure. */
    static final class Connection {
        private final int port;
        private Socket socket;
        private InputStream in;

        Connection(int port) {
            this.port = port;
        }

        /** Sends a request and returns the response; throws if there is none within the time. */
        Message call(Message request, long timeoutMs) throws IOException {
            long deadline = System.nanoTime() + timeoutMs * 1_000_000;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(LOCAL, port), (int) timeoutMs);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                long left = Math.max(1, (deadline - System.nanoTime()) / 1_000_000);
                socket.setSoTimeout((int) left);
                socket.getOutputStream().write(request.encode());
                Message response = read(in);
                if (response == null) {
                    throw new EOFException("closed");
                }
                if (response.closes()) {
                    close();
                }
                return response;
            } catch (IOException | RuntimeException e) {
                close();
                throw e;
            }
        }

        void close() {
            if (socket != null) {
                quietly(socket);
                socket = null;
            }
        }
    }

    static Message call(int port, Message request, long timeoutMs) throws IOException {
        Connection connection = new Connection(port);
        try {
            return connection.call(request, timeoutMs);
        } finally {
            connection.close();
        }
    }

    /** Thrown by a hook: the proxy answers in place of the target. */
    static final class Answer extends IOException {
        private static final long serialVersionUID = 1;
        final transient Message message;

        Answer(Message message) {
            this.message = message;
        }
    }

    /** What a proxy does to the messages that pass. A hook that throws an IOException resets the connection. */
    interface Hook {
        default void request(Message request) throws IOException {}

        default void response(Message request, Message response) throws IOException {}
    }

    /** A proxy for one target. It passes whole messages and keeps their order on each connection. */
    static Server proxy(String name, int targetPort, Hook hook) throws IOException {
        ThreadLocal<Connection> target = ThreadLocal.withInitial(() -> new Connection(targetPort));
        return new Server(name, request -> {
            try {
                hook.request(request);
                Message response = target.get().call(request, 120_000);
                hook.response(request, response);
                return response;
            } catch (Answer answer) {
                return answer.message;
            } catch (IOException e) {
                return null;
            }
        });
    }
}
