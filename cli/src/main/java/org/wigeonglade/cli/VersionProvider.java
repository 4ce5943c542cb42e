package org.wigeonglade.cli;

import picocli.CommandLine.IVersionProvider;

/**
 * Reads the version from the manifest of the build.
 */
final class VersionProvider implements IVersionProvider {

	@Override
	public String[] getVersion() {
		String version = Main.class.getPackage().getImplementationVersion();
		return new String[] { "wigeonglade " + ((version != null) ? version : "(development build)") };
	}

}
