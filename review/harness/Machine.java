package review;

import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A machine with one gateway process, started with the command of the deploy file. */
final class Machine {

	static final Set<Process> PROCESSES = ConcurrentHashMap.newKeySet();

	private static final int GRACE_SECONDS = 8;

	final String name;

	final String ip;

	final Store.Door door;

	final InetSocketAddress frontend;

	final InetSocketAddress ready;

	private final Path folder;

	private final Path settings;

	private Process process;

	private int lives;

	Machine(Store store, Path folder, String name, String ip, String zone) throws IOException {
		this.name = name;
		this.ip = ip;
		this.folder = folder;
		this.door = store.door("127.0.0.1");
		this.frontend = new InetSocketAddress(ip, freePort(ip));
		this.ready = new InetSocketAddress(ip, freePort(ip));
		int first = freePort(ip);
		Map<String, Object> root = new LinkedHashMap<>();
		root.put("node-name", name);
		root.put("role", "gateway");
		root.put("machine-class", "edge");
		root.put("serves", List.of("edge"));
		root.put("ip", ip);
		root.put("zone", zone);
		root.put("region", "region");
		root.put("zones", Map.of("zone-a", "region", "zone-b", "region"));
		root.put("listen", Map.of("frontend", ip + ":" + this.frontend.getPort(), "ready", ip + ":" + this.ready.getPort()));
		root.put("internal-ports", List.of(first, first + 15));
		root.put("seed-nodes", List.of());
		root.put("bootstrap", true);
		root.put("limits", Map.of("cpu-share", 0.75, "cpu-cores", 2, "memory-mb", 310, "max-fds", 8200));
		root.put("heartbeat-ms", 1200);
		root.put("contracts", List.of("base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform"));
		root.put("bounds", Map.of("contact-ms", 3000, "drain-ms", 2000, "grace-s", GRACE_SECONDS, "config-apply-ms", 2000, "status-s",
				120, "cancel-ms", 3000, "settle-ms", 1000));
		root.put("platform", Map.of("address", "127.0.0.1:" + this.door.server.port(), "form", "log", "parts", 24,
				"record-bytes", 262144, "call-bytes", 2097152, "retention-s", 300));
		this.settings = folder.resolve(name + ".json");
		Files.writeString(this.settings, Json.write(root));
	}

	/** Starts the process. */
	void start() throws IOException {
		String command = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.map((line) -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(command.split(" "));
		builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("WIGEONGLADE_NODE_FILE", this.settings.toString());
		File log = this.folder.resolve(this.name + "-" + (++this.lives) + ".log").toFile();
		this.process = builder.redirectErrorStream(true).redirectOutput(log).start();
		PROCESSES.add(this.process);
	}

	boolean isReady() {
		Http.Message answer = Http.call(this.ready, "GET", "/api/readyz", Map.of("Host", "ready"), new byte[0], 500);
		return answer != null && answer.status() == 200;
	}

	boolean isRunning() {
		return this.process.isAlive();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

	void terminate() {
		this.process.destroy();
	}

	/** Stops the process as the platform does, with SIGKILL after the grace period. */
	void stop() throws InterruptedException {
		terminate();
		if (!this.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
			kill();
		}
	}

	Path log() {
		return this.folder.resolve(this.name + "-" + this.lives + ".log");
	}

	static int freePort(String ip) throws IOException {
		for (int i = 0; i < 200; i++) {
			int port = ThreadLocalRandom.current().nextInt(20_000, 31_900);
			InetSocketAddress address = new InetSocketAddress(InetAddress.getByName(ip), port);
			try (ServerSocket tcp = new ServerSocket(); DatagramSocket udp = new DatagramSocket(address)) {
				tcp.bind(address);
				return udp.isBound() ? port : 0;
			}
			catch (IOException ex) {
				// The port is in use.
			}
		}
		throw new IOException("no free port on " + ip);
	}

}
