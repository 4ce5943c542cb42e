package org.wigeonglade.entry.online;

import java.util.Set;

import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.time.Ticker;

/**
 * Holds the parts of the online path that an answer in progress works with.
 *
 * @param loop the event loop of the online path
 * @param ticker the clocks
 * @param suspects decides which requests may run
 * @param isolation runs suspected requests alone
 * @param arrivals tells batch dispatchers about online requests
 * @param account records what happens to requests
 * @param active the answers in progress
 */
record OnlineParts(EventLoop loop, Ticker ticker, Suspects suspects, Isolation isolation, ArrivalNotices arrivals,
		AccountRecorder account, Set<OnlineStream> active) {
}
