import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback sockets, with one thread per connection. */
final class Http {
    private Http() {}

    /** A message with its first line, its headers by lower-case name and its body; {@code body} is null if cut off. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                if (!pair.startsWith(name + "=")) continue;
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        void handle(Message request, Socket socket) throws Exception;
    }

    /** Serves connections until it is closed. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 500);
            daemon(this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Message request;
                while ((request = read(in, false, false)) != null && request.body() != null) {
                    handler.handle(request, socket);
                }
            } catch (Exception e) {
                // the connection ends
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) socket.close();
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes a response with a length. {@code headers} are lines that end with CRLF. */
    static void respond(Socket socket, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        write(socket, out.toByteArray());
    }

    static void respond(Socket socket, int status, String headers, String body) throws IOException {
        respond(socket, status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    static void write(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(bytes);
            out.flush();
        }
    }

    static void write(Socket socket, String text) throws IOException {
        write(socket, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMs);
        return socket;
    }

    /** Reads a message; null at the end of the stream. */
    static Message read(InputStream in, boolean response, boolean headRequest) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        if (line == null) return null;
        if (response && headRequest) return new Message(first, headers, new byte[0]);
        String length = headers.get("content-length");
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            body = chunked(in);
        } else if (length != null) {
            int size = Integer.parseInt(length);
            body = in.readNBytes(size);
            if (body.length < size) body = null;
        } else {
            body = response ? in.readAllBytes() : new byte[0];
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunked(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) return null;
            byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
            if (chunk.length < Integer.parseInt(size.trim(), 16) || line(in) == null) return null;
            if (chunk.length == 0) return body.toByteArray();
            body.write(chunk);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') {
                int end = text.length();
                if (end > 0 && text.charAt(end - 1) == '\r') text.setLength(end - 1);
                return text.toString();
            }
            text.append((char) next);
        }
    }
}
