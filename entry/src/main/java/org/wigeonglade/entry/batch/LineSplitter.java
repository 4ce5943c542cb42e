package org.wigeonglade.entry.batch;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Splits a body that arrives in pieces of any size into lines and skips blank ones. Keeps
 * at most one incomplete line in memory.
 */
final class LineSplitter {

	private final int maxLineBytes;

	private final Consumer<byte[]> lineConsumer;

	private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

	private int lineNumber = 1;

	LineSplitter(int maxLineBytes, Consumer<byte[]> lineConsumer) {
		this.maxLineBytes = maxLineBytes;
		this.lineConsumer = lineConsumer;
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
		if (this.partialLine.size() > 0) {
			endLine();
		}
	}

	private void append(byte[] piece, int from, int length) {
		if (this.partialLine.size() + length > this.maxLineBytes) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE,
					"line " + this.lineNumber + " has more than " + this.maxLineBytes + " bytes");
		}
		this.partialLine.write(piece, from, length);
	}

	private void endLine() {
		byte[] line = this.partialLine.toByteArray();
		this.partialLine.reset();
		if (!isBlank(line)) {
			this.lineConsumer.accept(line);
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
