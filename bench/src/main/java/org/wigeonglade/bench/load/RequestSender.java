package org.wigeonglade.bench.load;

import io.vertx.core.Future;
import org.wigeonglade.bench.client.Answer;

/**
 * Sends one request of a load run.
 */
@FunctionalInterface
public interface RequestSender {

	/**
	 * Sends a request at once.
	 * @param index the number of the request, from 0
	 * @return the answer; a failed future counts as a failed request
	 */
	Future<Answer> send(int index);

}
