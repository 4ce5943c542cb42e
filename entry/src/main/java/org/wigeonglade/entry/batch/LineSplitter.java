package org.wigeonglade.entry.batch;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Cuts pieces of any size into lines. Keeps at most one unfinished line in memory.
 */
final class LineSplitter {

	private final int maxLineBytes;

	private final Consumer<byte[]> lines;

	private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

	private int lineNumber = 1;

	LineSplitter(int maxLineBytes, Consumer<byte[]> lines) {
		this.maxLineBytes = maxLineBytes;
		this.lines = lines;
	}

	int getLineNumber() {
		return this.lineNumber;
	}

	void write(byte[] piece) {
		int start = 0;
		for (int i = 0; i < piece.length; i++) {
			if (piece[i] == '\n') {
				append(piece, start, i - start);
				endLine();
				start = i + 1;
			}
		}
		append(piece, start, piece.length - start);
	}

	void finish() {
		if (this.rest.size() > 0) {
			endLine();
		}
	}

	private void append(byte[] piece, int from, int length) {
		if (this.rest.size() + length > this.maxLineBytes) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE,
					"line " + this.lineNumber + " has more than " + this.maxLineBytes + " bytes");
		}
		this.rest.write(piece, from, length);
	}

	private void endLine() {
		byte[] line = this.rest.toByteArray();
		this.rest.reset();
		if (!isBlank(line)) {
			this.lines.accept(line);
		}
		this.lineNumber++;
	}

	private static boolean isBlank(byte[] line) {
		for (byte b : line) {
			if (b != ' ' && b != '\t' && b != '\r') {
				return false;
			}
		}
		return true;
	}

}
