package org.wigeonglade.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.hash.Hashing;

/**
 * Deterministic generator of completions. A completion depends on its prompt only, so
 * that a checker can verify it in full. A prompt that contains {@code [tokens:N]} has a
 * completion of N tokens before the limit is applied.
 */
public final class CompletionText {

	private static final Pattern LENGTH_DIRECTIVE = Pattern.compile("\\[tokens:(\\d{1,5})\\]");

	private static final int MIN_LENGTH = 8;

	private static final int LENGTH_SPREAD = 25;

	private static final String[] SYLLABLES = { "ka", "lo", "mi", "ne", "pu", "ra", "si", "to", "va", "ye", "du", "fe",
			"gi", "ho", "ju", "el" };

	private static final int CHARS_PER_TOKEN = 4;

	private CompletionText() {
	}

	/**
	 * Returns the tokens of a completion.
	 * @param prompt the prompt, not null
	 * @param maxTokens the largest number of tokens
	 * @return the tokens, at most {@code maxTokens}
	 */
	public static List<String> tokens(String prompt, int maxTokens) {
		long hash = Hashing.murmur3_128().hashString(prompt, StandardCharsets.UTF_8).asLong();
		int length = Math.min(maxTokens, naturalLength(prompt, hash));
		List<String> tokens = new ArrayList<>(length);
		long state = hash;
		for (int i = 0; i < length; i++) {
			state = state * 6364136223846793005L + 1442695040888963407L;
			int bits = (int) (state >>> 40);
			tokens.add(((i > 0) ? " " : "") + SYLLABLES[bits & 15] + SYLLABLES[(bits >>> 4) & 15]
					+ SYLLABLES[(bits >>> 8) & 15]);
		}
		return tokens;
	}

	/**
	 * Returns the text of a completion.
	 * @param prompt the prompt, not null
	 * @param maxTokens the largest number of tokens
	 * @return the text, never null
	 */
	public static String answer(String prompt, int maxTokens) {
		return String.join("", tokens(prompt, maxTokens));
	}

	/**
	 * Returns the reason why a completion ends.
	 * @param prompt the prompt, not null
	 * @param maxTokens the largest number of tokens
	 * @return {@code stop} if it ends by itself, {@code length} if it reaches the limit
	 */
	public static String finishReason(String prompt, int maxTokens) {
		long hash = Hashing.murmur3_128().hashString(prompt, StandardCharsets.UTF_8).asLong();
		return (naturalLength(prompt, hash) <= maxTokens) ? "stop" : "length";
	}

	/**
	 * Returns the number of tokens of a prompt.
	 * @param prompt the prompt, not null
	 * @return the prompt length divided by 4 characters per token, at least 1
	 */
	public static int promptTokens(String prompt) {
		return Math.max(1, prompt.length() / CHARS_PER_TOKEN);
	}

	private static int naturalLength(String prompt, long hash) {
		Matcher matcher = LENGTH_DIRECTIVE.matcher(prompt);
		if (matcher.find()) {
			return Integer.parseInt(matcher.group(1));
		}
		return MIN_LENGTH + (int) Math.floorMod(hash, (long) LENGTH_SPREAD);
	}

}
