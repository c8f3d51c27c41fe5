import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on loopback: a server with one thread for each connection, and a client that keeps its connection. */
final class Http {
    private Http() {}

    record Request(String method, String path, String body) {}

    /** {@code status} 0 stands for no response. */
    record Response(int status, String body) {
        static final Response NONE = new Response(0, "");

        static Response of(int status, Object json) {
            return new Response(status, Json.write(json));
        }
    }

    /** Answers a request. {@link Response#NONE} closes the connection without a response. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean stopped;

        Server(Handler handler) throws IOException {
            this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            this.handler = handler;
            daemon("http-" + port(), this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        void stop() {
            stopped = true;
            closeQuietly(socket);
            connections.forEach(Http::closeQuietly);
        }

        private void accept() {
            while (!stopped) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    daemon("connection", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    String first = line(in);
                    if (first == null) {
                        return;
                    }
                    String[] words = first.split(" ");
                    Headers headers = headers(in);
                    String body = new String(in.readNBytes(headers.length), StandardCharsets.UTF_8);
                    Response response = handler.handle(new Request(words[0], words[1], body));
                    if (response.status == 0) {
                        return;
                    }
                    byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + response.status + " x\r\nContent-Type: application/json\r\n"
                            + "Content-Length: " + bytes.length + "\r\n\r\n";
                    ByteArrayOutputStream message = new ByteArrayOutputStream();
                    message.write(head.getBytes(StandardCharsets.US_ASCII));
                    message.write(bytes);
                    out.write(message.toByteArray());
                    out.flush();
                    if (headers.close) {
                        return;
                    }
                }
            } catch (IOException e) {
                // the peer has gone
            } catch (Exception e) {
                if (!stopped) {
                    e.printStackTrace();
                }
            } finally {
                connections.remove(connection);
            }
        }
    }

    /** A client for one address. A failed or timed out request closes the connection. */
    static final class Client {
        private final String address;
        private Socket socket;
        private InputStream in;

        Client(String address) {
            this.address = address;
        }

        String address() {
            return address;
        }

        Response call(String method, String path, String body, int timeoutMs) {
            try {
                if (socket == null) {
                    open(timeoutMs);
                }
                socket.setSoTimeout(timeoutMs);
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n"
                        + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.write(head.getBytes(StandardCharsets.US_ASCII));
                message.write(bytes);
                socket.getOutputStream().write(message.toByteArray());
                String first = line(in);
                if (first == null) {
                    throw new EOFException();
                }
                int status = Integer.parseInt(first.split(" ")[1]);
                Headers headers = headers(in);
                String responseBody = new String(in.readNBytes(headers.length), StandardCharsets.UTF_8);
                if (headers.close) {
                    close();
                }
                return new Response(status, responseBody);
            } catch (IOException | RuntimeException e) {
                close();
                return Response.NONE;
            }
        }

        private void open(int timeoutMs) throws IOException {
            int colon = address.lastIndexOf(':');
            Socket opened = new Socket();
            opened.setTcpNoDelay(true);
            try {
                opened.connect(
                        new InetSocketAddress(
                                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                        Math.min(timeoutMs, 1000));
            } catch (IOException e) {
                closeQuietly(opened);
                throw e;
            }
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream());
        }

        void close() {
            if (socket != null) {
                closeQuietly(socket);
                socket = null;
            }
        }
    }

    private record Headers(int length, boolean close) {}

    private static Headers headers(InputStream in) throws IOException {
        int length = 0;
        boolean close = false;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                close = true;
            }
        }
        return new Headers(length, close);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.US_ASCII);
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    static void closeQuietly(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // nothing to do
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, (long) (seconds * 1000)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
