package org.wigeonglade.gateway.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.hash.Hashing;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerLifetime;
import org.wigeonglade.gateway.fleet.SoftwareVersion;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedSlice;
import org.wigeonglade.gateway.store.PartitionedLog;
import org.wigeonglade.gateway.stream.StreamOrigin;
import org.wigeonglade.schema.generated.gateway.OriginRecord;

/**
 * Guards against origins of streams that another host, or another build, takes for those
 * of another version.
 */
public class StreamOriginLogTests {

	private static final ServiceName SERVICE = ServiceName.of("llm");

	private static final StreamOrigin OF_VERSION = StreamOrigin.ofVersion(SERVICE, SoftwareVersion.of("v1"));

	private static final StreamOrigin OF_PROCESS = StreamOrigin.ofProcess(SERVICE,
			new RunnerLifetime(RunnerId.of("r"), 1_700_000_000_000L));

	private EventLoop loop;

	private MemoryLog store;

	@BeforeMethod
	public void createStore() {
		this.loop = new DefaultEventLoop();
		this.store = new MemoryLog();
	}

	@AfterMethod(alwaysRun = true)
	public void stopLoop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@DataProvider
	public Object[][] origins() {
		return new Object[][] { { OF_VERSION }, { OF_PROCESS } };
	}

	@Test(dataProvider = "origins")
	public void originIsTheSameAtAnotherHost(StreamOrigin origin) throws Exception {
		record(origin);
		Assert.assertEquals(find(), Optional.of(origin));
	}

	// Such a record names the version only.
	@Test
	public void recordOfAnEarlierBuildIsRead() throws Exception {
		String key = Hashing.murmur3_128().hashString("s", java.nio.charset.StandardCharsets.UTF_8).toString();
		this.store.records.add(new KeyedRecord(0, key,
				OriginRecord.newBuilder().setService("llm").setVersion("v1").build().toByteArray()));
		Assert.assertEquals(find(), Optional.of(OF_VERSION));
	}

	// An earlier build finds no runner of such a version, so that it refuses to resume.
	@Test
	public void originWithoutAVersionNamesNoneToAnEarlierBuild() throws Exception {
		record(OF_PROCESS);
		OriginRecord record = OriginRecord.parseFrom(this.store.records.get(0).value());
		Assert.assertEquals(record.getService(), "llm");
		Assert.assertEquals(record.getVersion(), "");
	}

	private void record(StreamOrigin origin) throws Exception {
		StreamOriginLog log = new StreamOriginLog(this.store, this.loop, Ticker.system());
		this.loop.submit(() -> log.record("s", origin)).get(10, TimeUnit.SECONDS);
		this.store.appended.get(10, TimeUnit.SECONDS);
	}

	private Optional<StreamOrigin> find() throws Exception {
		StreamOriginLog log = new StreamOriginLog(this.store, this.loop, Ticker.system());
		CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
		this.loop.execute(() -> log.find("s", found::complete));
		return found.get(10, TimeUnit.SECONDS);
	}

	/**
	 * A log with one partition in memory.
	 */
	private static final class MemoryLog implements PartitionedLog {

		private final List<KeyedRecord> records = new ArrayList<>();

		private final CompletableFuture<Void> appended = new CompletableFuture<>();

		@Override
		public int getPartitionCount() {
			return 1;
		}

		@Override
		public Uni<Long> append(int partition, List<KeyedRecord> added) {
			this.records.addAll(added);
			this.appended.complete(null);
			return Uni.createFrom().item(0L);
		}

		@Override
		public Uni<KeyedSlice> read(int partition, long fromOffset) {
			return Uni.createFrom().item(new KeyedSlice(List.copyOf(this.records), 1, 1));
		}

	}

}
