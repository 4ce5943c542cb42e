import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A machine of the system: the gateway process, started with the command of the deploy
 * file and restarted after it ends, on a loopback address of its own.
 */
final class Machine {

	private static final int RESTART_MILLIS = 500;

	private final String name;

	private final String ip;

	private final Path folder;

	private final InetSocketAddress frontend;

	private final InetSocketAddress ready;

	private final List<String> command;

	private volatile Process process;

	Machine(int number, String zone, Path folder, int storePort, String bounds) throws IOException {
		this.name = "edge-" + zone + "-" + number;
		this.ip = "127.0.0." + (10 + number);
		this.folder = folder;
		this.frontend = new InetSocketAddress(this.ip, freePort());
		this.ready = new InetSocketAddress(this.ip, freePort());
		int peer = freePort();
		String settings = """
				{"node-name":"%s","role":"gateway","machine-class":"edge","serves":["edge"],"ip":"%s","zone":"%s",
				"region":"region-a","zones":{"zone-a":"region-a","zone-b":"region-a"},"listen":{"frontend":"%s:%d","ready":"%s:%d"},
				"internal-ports":[%d,%d],"seed-nodes":[],"bootstrap":true,"counts-as-loss":false,
				"limits":{"cpu-share":0.75,"cpu-cores":2,"memory-mb":470,"max-fds":8200,"link-mbps":1000.0,"disk-mb":0},
				"data-dir":null,"discovery":"platform","entry-type":"vip","heartbeat-ms":1200,
				"contracts":["base","drain","config","cost","recover","batch","stream","engine","platform"],
				"fault-tolerance":{"machines":1,"zones":1,"regions":0},"bounds":%s,
				"platform":{"address":"127.0.0.1:%d","form":"log","writes-per-s":800,"reads-per-s":2000,"parts":24,
				"append-ms":1.0,"part-mb-s":20.0,"read-mb-s":80.0,"record-bytes":262144,"call-bytes":2097152,
				"retention-s":300,"part-mb":200,"ttl-min-ms":1000}}
				""".formatted(this.name, this.ip, zone, this.ip, this.frontend.getPort(), this.ip, this.ready.getPort(), peer,
				peer + 15, bounds, storePort);
		Files.writeString(folder.resolve(this.name + ".json"), settings);
		this.command = readCommand();
	}

	// The command of the only role in the deploy file.
	private static List<String> readCommand() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("deploy/system.toml has no command");
	}

	private int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(this.ip, 0));
			return socket.getLocalPort();
		}
	}

	InetSocketAddress getFrontend() {
		return this.frontend;
	}

	String getName() {
		return this.name;
	}

	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(this.command));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("WIGEONGLADE_NODE_FILE", this.folder.resolve(this.name + ".json").toString());
		File log = this.folder.resolve(this.name + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		this.process = builder.start();
	}

	boolean isReady() {
		Wire.Message answer = Wire.call(this.ready, "GET", "/api/readyz", Map.of("Host", "ready"), new byte[0], 1_000);
		return answer != null && answer.status() == 200;
	}

	boolean isRunning() {
		return this.process != null && this.process.isAlive();
	}

	void awaitReady(long endNanos) throws IOException, InterruptedException {
		while (!isReady()) {
			if (System.nanoTime() > endNanos || !isRunning()) {
				throw new IOException(this.name + " does not become ready");
			}
			Thread.sleep(100);
		}
	}

	void kill() {
		this.process.destroyForcibly();
	}

	/**
	 * Sends SIGTERM and waits for the end.
	 * @return the time until the end in milliseconds
	 */
	long terminate() throws InterruptedException {
		long start = System.currentTimeMillis();
		this.process.destroy();
		this.process.waitFor();
		return System.currentTimeMillis() - start;
	}

	void killAndRestart() throws IOException, InterruptedException {
		kill();
		this.process.waitFor();
		Thread.sleep(RESTART_MILLIS);
		start();
	}

	void stop() throws InterruptedException {
		if (isRunning()) {
			kill();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

	Path getLog() {
		return this.folder.resolve(this.name + ".log");
	}

}
