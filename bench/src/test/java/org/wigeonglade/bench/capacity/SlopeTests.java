package org.wigeonglade.bench.capacity;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against a wrong line through measured points and against capacity figures that
 * rest on fewer than three sizes.
 */
public class SlopeTests {

	@Test
	public void lineGoesThroughExactPoints() {
		Slope slope = Slope.fit("s", "items", "bytes",
				List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(4, 11)));
		Assert.assertEquals(slope.perUnit(), 2, 1e-9);
		Assert.assertEquals(slope.base(), 3, 1e-9);
		Assert.assertEquals(slope.fit(), 1, 1e-9);
		Assert.assertEquals(slope.at(10), 23, 1e-9);
	}

	@Test
	public void scatteredPointsHaveLowerFit() {
		Slope slope = Slope.fit("s", "items", "bytes",
				List.of(new Slope.Point(1, 5), new Slope.Point(2, 1), new Slope.Point(3, 5)));
		Assert.assertEquals(slope.fit(), 0, 1e-9);
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	public void twoSizesAreNotEnough() {
		Slope.fit("s", "items", "bytes", List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(2, 8)));
	}

	@Test
	public void recordsOfItemsGrowWithTheirNumber() {
		Slope bytes = ReplaySlopes.logBytes(List.of(100, 200, 400), 10, 20, "append.bytes");
		Assert.assertTrue(bytes.perUnit() > 30 && bytes.perUnit() < 120, bytes.toString());
		Assert.assertTrue(bytes.fit() > 0.99, bytes.toString());
	}

}
