package org.wigeonglade.cli;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.WigeongladeException;

/**
 * Signals that a host turned a request down or did not answer it.
 */
class RemoteException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	RemoteException(ErrorCode code, ExecutionState executionState, String message, Throwable cause) {
		super(code, executionState, message, cause);
	}

}
