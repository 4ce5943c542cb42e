package org.wigeonglade.gateway.stream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.ProcessIdentity;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.SoftwareVersion;
import org.wigeonglade.gateway.fleet.VersionHistory;

/**
 * Guards against a process of a runner that is taken for an earlier or later one under
 * the same id, and against streams that are bound to the version of another process.
 */
public class RestartedProcessTests {

	private static final Duration PERIOD = Duration.ofSeconds(20);

	private RunnerDirectory directory;

	private VersionHistory history;

	@BeforeMethod
	public void createDirectory() {
		this.directory = new RunnerDirectory();
		this.directory.put(entry("v1", 100));
		this.history = new VersionHistory();
		this.history.observe(List.of(entry("v1", 100)), true, 0);
	}

	@DataProvider
	public Object[][] starts() {
		return new Object[][] { { 99, ProcessIdentity.Former.class }, { 100, ProcessIdentity.Registered.class },
				{ 101, ProcessIdentity.Unregistered.class } };
	}

	@Test(dataProvider = "starts")
	public void processIsIdentifiedByItsStart(long startedMillis, Class<?> identity) {
		Assert.assertEquals(this.directory.identify(entry("v1", 100), startedMillis).getClass(), identity);
	}

	@Test
	public void laterProcessIsNotTakenForTheRegisteredVersion() {
		RunnerEntry process = restart(200);
		Assert.assertFalse(process.version().isKnown());
		Assert.assertEquals(this.directory.find(process.id()), Optional.of(process));
		Assert.assertFalse(StreamBinding.ofResumed(Optional.of(StreamOrigin.of(entry("v1", 100)))).permits(process));
		Assert.assertTrue(this.directory.identify(entry("v1", 100), 200) instanceof ProcessIdentity.Unregistered);
	}

	@Test
	public void registrationOfAnEarlierProcessDoesNotHideALaterOne() {
		RunnerEntry process = restart(200);
		Assert.assertFalse(this.directory.put(entry("v1", 100)));
		Assert.assertEquals(this.directory.find(process.id()), Optional.of(process));
		Assert.assertTrue(this.directory.put(entry("v2", 200)));
		Assert.assertEquals(this.directory.find(process.id()), Optional.of(entry("v2", 200)));
	}

	// A clock that was set back makes a later start look earlier.
	@Test
	public void registrationCountsAlsoIfTheClockWasSetBack() {
		Assert.assertTrue(this.directory.put(entry("v2", 50)));
		Assert.assertTrue(this.directory.identify(entry("v2", 50), 50) instanceof ProcessIdentity.Registered);
	}

	@Test
	public void streamOfAnUnregisteredProcessGoesOnAtItsVersionOnceThatIsKnown() {
		RunnerEntry process = restart(200);
		StreamBinding binding = new StreamBinding.Open().afterEventFrom(process);
		Assert.assertTrue(binding.permits(process));
		Assert.assertFalse(binding.permits(entry("v1", 100)));
		Assert.assertFalse(binding.permits(process.withRestart(300)));
		Assert.assertEquals(binding.resolve(this.history::findVersion), binding);
		this.history.record(entry("v2", 200), 10);
		StreamBinding resolved = binding.resolve(this.history::findVersion);
		Assert.assertTrue(resolved.permits(entry("v2", 200)));
		Assert.assertTrue(resolved.permits(entry("v2", 400)));
		Assert.assertFalse(resolved.permits(entry("v1", 100)));
	}

	@Test
	public void processesOfUnknownVersionsDoNotContinueEachOther() {
		RunnerEntry other = new RunnerEntry(RunnerId.of("other"), entry("v1", 100).service(),
				entry("v1", 100).address(), FailureDomain.of("zone-a"), SoftwareVersion.UNKNOWN, 4, false, 200);
		Assert.assertFalse(new StreamBinding.Open().afterEventFrom(restart(200)).permits(other));
	}

	@Test
	public void noVersionIsTheOnlyOneWhileAProcessIsUnregistered() {
		this.history.record(restart(200), 25_000);
		this.history.observe(List.of(entry("v1", 100)), true, 30_000);
		Assert.assertEquals(findOnlyVersion(30_000), Optional.empty());
		this.history.record(entry("v1", 200), 30_000);
		Assert.assertEquals(findOnlyVersion(30_000), Optional.of(SoftwareVersion.of("v1")));
	}

	private Optional<SoftwareVersion> findOnlyVersion(long nowMillis) {
		return this.history.findOnlyVersion(entry("v1", 100).service(), PERIOD, nowMillis);
	}

	private RunnerEntry restart(long startedMillis) {
		return ((ProcessIdentity.Unregistered) this.directory.identify(entry("v1", 100), startedMillis)).entry();
	}

	private static RunnerEntry entry(String version, long startedMillis) {
		return new RunnerEntry(RunnerId.of("r"), ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("zone-a"), SoftwareVersion.of(version), 4, false, startedMillis);
	}

}
