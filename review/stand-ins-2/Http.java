import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** Small HTTP/1.1 server and message parser for the stand-ins. One thread per connection. */
final class Http {
    private Http() {}

    static final class Request {
        String method, target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }

        String path() { int q = target.indexOf('?'); return q < 0 ? target : target.substring(0, q); }

        String query(String name) {
            int q = target.indexOf('?');
            if (q < 0) return null;
            for (String pair : target.substring(q + 1).split("&")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).equals(name)) {
                    return URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    static final class Response {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** False if the connection ended before the end that the head announces. */
        boolean complete;

        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }

        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (c == '\n') break;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 1) throw new IOException("header line '" + line + "'");
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body ended after " + bytes.length + " of " + length);
        return bytes;
    }

    /** Returns null at the end of the connection. */
    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        String[] words = line.split(" ");
        if (words.length != 3) throw new IOException("request line '" + line + "'");
        Request request = new Request();
        request.method = words[0];
        request.target = words[1];
        readHeaders(in, request.headers);
        String length = request.header("content-length");
        if (length != null) request.body = readExactly(in, Integer.parseInt(length));
        else if ("chunked".equals(request.header("transfer-encoding"))) request.body = readChunks(in);
        return request;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("chunks ended");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) { readHeaders(in, new HashMap<>()); return body.toByteArray(); }
            body.write(readExactly(in, size));
            readLine(in);
        }
    }

    /** Reads a whole response. {@code complete} is false if the connection ends in its body. */
    static Response readResponse(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("no answer");
        Response response = new Response();
        response.status = Integer.parseInt(line.split(" ")[1]);
        readHeaders(in, response.headers);
        try {
            String length = response.header("content-length");
            if (length != null) response.body = readExactly(in, Integer.parseInt(length));
            else if ("chunked".equals(response.header("transfer-encoding"))) response.body = readChunks(in);
            else response.body = in.readAllBytes();
            response.complete = true;
        } catch (EOFException e) {
            response.complete = false;
        }
        return response;
    }

    static byte[] head(String firstLine, String... headers) {
        StringBuilder text = new StringBuilder(firstLine).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            if (headers[i + 1] != null) text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void respond(OutputStream out, int status, byte[] body, String... headers) throws IOException {
        List<String> all = new ArrayList<>(Arrays.asList(headers));
        all.addAll(List.of("Content-Length", String.valueOf(body.length)));
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head("HTTP/1.1 " + status + " -", all.toArray(new String[0])));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** A server at one loopback address. {@link #end} closes it and all its connections, as the end of its process does. */
    abstract static class Server {
        final InetSocketAddress address;
        private final ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        volatile boolean ended;

        Server(String ip, int port) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 512);
            address = (InetSocketAddress) listener.getLocalSocketAddress();
        }

        String hostPort() { return address.getAddress().getHostAddress() + ":" + address.getPort(); }

        void start() { daemon("accept " + address, this::acceptLoop); }

        private void acceptLoop() {
            while (!ended) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    if (ended) socket.close();
                    daemon("serve " + address, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    if (!handle(request, out)) return;
                }
            } catch (IOException e) {
                // The connection has ended.
            } finally {
                sockets.remove(socket);
            }
        }

        void end() {
            ended = true;
            try { listener.close(); } catch (IOException e) { /* It is closed. */ }
            for (Socket socket : sockets) {
                try { socket.close(); } catch (IOException e) { /* It is closed. */ }
            }
        }

        /** Returns false to close the connection. */
        abstract boolean handle(Request request, OutputStream out) throws IOException;
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
