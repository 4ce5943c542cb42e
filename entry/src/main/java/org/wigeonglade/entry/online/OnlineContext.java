package org.wigeonglade.entry.online;

import java.util.Set;

import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.time.Ticker;

/**
 * Components of the online path that all streams share.
 *
 * @param loop the event loop of the online path
 * @param ticker the wall and monotonic clocks
 * @param poisonGuard decides which requests may run
 * @param isolation runs suspected requests in isolation
 * @param arrivals notifies batch dispatchers of online requests
 * @param account records the events of each request
 * @param activeStreams the streams in progress
 */
record OnlineContext(EventLoop loop, Ticker ticker, PoisonRequestGuard poisonGuard, IsolationScheduler isolation,
		ArrivalNotices arrivals, AccountRecorder account, Set<OnlineStream> activeStreams) {
}
