package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		return new Json(text).value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> parseObject(String text) {
		return (Map<String, Object>) parse(text);
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		switch (value) {
			case null -> out.append("null");
			case Map<?, ?> map -> {
				String separator = "{";
				for (Map.Entry<?, ?> entry : map.entrySet()) {
					out.append(separator);
					write(entry.getKey().toString(), out);
					out.append(':');
					write(entry.getValue(), out);
					separator = ",";
				}
				out.append(map.isEmpty() ? "{}" : "}");
			}
			case List<?> list -> {
				String separator = "[";
				for (Object element : list) {
					out.append(separator);
					write(element, out);
					separator = ",";
				}
				out.append(list.isEmpty() ? "[]" : "]");
			}
			case String string -> {
				out.append('"');
				for (char c : string.toCharArray()) {
					if (c == '"' || c == '\\') {
						out.append('\\').append(c);
					}
					else if (c < ' ') {
						out.append(String.format("\\u%04x", (int) c));
					}
					else {
						out.append(c);
					}
				}
				out.append('"');
			}
			default -> out.append(value);
		}
	}

	private Object value() {
		skipSpace();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			skipSpace();
			while (this.text.charAt(this.at) != '}') {
				skipSpace();
				String key = string();
				skipSpace();
				this.at++;
				map.put(key, value());
				skipSpace();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			skipSpace();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				skipSpace();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
				}
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.contains(".") || word.contains("e")) ? (Object) Double.valueOf(word) : Long.valueOf(word);
		};
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				switch (c) {
					case 'n' -> out.append('\n');
					case 'r' -> out.append('\r');
					case 't' -> out.append('\t');
					case 'b' -> out.append('\b');
					case 'f' -> out.append('\f');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(c);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

	private void skipSpace() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

}
