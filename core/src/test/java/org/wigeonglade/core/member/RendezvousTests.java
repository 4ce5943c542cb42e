package org.wigeonglade.core.member;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.Hashing;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against hosts of two versions that assign work differently.
 */
public class RendezvousTests {

	@DataProvider
	public Object[][] keys() {
		return new Object[][] { { "", "" }, { "job/item", "host-1" }, { "7c41e09b52d6a3f8/e5b2907c14da6f38", "edge" },
				{ "kesäyö", "isäntä" } };
	}

	@Test(dataProvider = "keys")
	public void scoreIsThatOfEarlierVersions(String key, String name) {
		long expected = Hashing.murmur3_128()
			.newHasher()
			.putInt(key.length())
			.putString(key, StandardCharsets.UTF_8)
			.putString(name, StandardCharsets.UTF_8)
			.hash()
			.asLong();
		Assert.assertEquals(Rendezvous.score(key, name), expected);
	}

	@Test
	public void memberWithTheHighestScoreIsFirst() {
		List<String> members = List.of("a", "b", "c", "d");
		String first = Rendezvous.first("key", members, (name) -> name).orElseThrow();
		members.forEach(
				(name) -> Assert.assertTrue(Rendezvous.score("key", name) <= Rendezvous.score("key", first), name));
		Assert.assertEquals(Rendezvous.rank("key", members, (name) -> name).getFirst(), first);
	}

}
