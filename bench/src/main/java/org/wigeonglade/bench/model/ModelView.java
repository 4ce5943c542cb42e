package org.wigeonglade.bench.model;

import java.util.Set;
import java.util.TreeSet;

import org.wigeonglade.gateway.fleet.LoadTracker;

/**
 * What each modelled host knows of the load of runners: its own part exactly, that of
 * hosts of its failure domain with a short lag, that of all others with a longer one.
 */
final class ModelView {

	private final int domains;

	// Counts by runner: [0] streams, [1] items.
	private final int[][][] near;

	private final int[][][] far;

	private final int[][][] own;

	private final int[][][] ownTold;

	ModelView(int hosts, int domains, int runners) {
		this.domains = domains;
		this.near = new int[domains][runners][2];
		this.far = new int[domains][runners][2];
		this.own = new int[hosts][runners][2];
		this.ownTold = new int[hosts][runners][2];
	}

	int domainOf(int index) {
		return index % this.domains;
	}

	void changeOwn(int host, int runner, boolean batch, int change) {
		this.own[host][runner][batch ? 1 : 0] += change;
	}

	void tellNear(int host, int runner, boolean batch, int change) {
		this.near[domainOf(host)][runner][batch ? 1 : 0] += change;
		this.ownTold[host][runner][batch ? 1 : 0] += change;
	}

	void tellFar(int host, int runner, boolean batch, int change) {
		this.far[domainOf(host)][runner][batch ? 1 : 0] += change;
	}

	LoadTracker.Load getLoad(int host, int runner) {
		return new LoadTracker.Load(sum(host, runner, 0), sum(host, runner, 1));
	}

	Set<Integer> getLoaded(int host) {
		Set<Integer> loaded = new TreeSet<>();
		for (int runner = 0; runner < this.own[host].length; runner++) {
			if (this.own[host][runner][0] + this.own[host][runner][1] > 0) {
				loaded.add(runner);
			}
		}
		return loaded;
	}

	private int sum(int host, int runner, int kind) {
		int domain = domainOf(host);
		int sum = this.near[domain][runner][kind] + this.own[host][runner][kind] - this.ownTold[host][runner][kind];
		for (int other = 0; other < this.domains; other++) {
			sum += (other != domain) ? this.far[other][runner][kind] : 0;
		}
		return Math.max(0, sum);
	}

}
