package org.wigeonglade.bench.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a planned stop that cuts answers off, refusals that ran, and items that
 * are lost or doubled when a host is killed.
 */
public class MachinesDemoTests {

	@Test
	public void everyPromiseHoldsWhileHostsStopAndDie() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int code = new MachinesDemo().run(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		Assert.assertEquals(code, MachinesDemo.EXIT_OK, bytes.toString(StandardCharsets.UTF_8));
	}

}
