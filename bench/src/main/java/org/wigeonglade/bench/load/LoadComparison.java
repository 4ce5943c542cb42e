package org.wigeonglade.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.wigeonglade.bench.load.LoadReport.Spread;

/**
 * Compares the figures of two reports. A difference counts only when the ranges of the
 * runs do not overlap, so that noise is not reported as a change.
 */
public final class LoadComparison {

	private LoadComparison() {
	}

	/**
	 * Compares two reports.
	 * @param before the first report, not null
	 * @param after the second report, not null
	 * @return a row for each figure that both have
	 */
	public static List<Row> compare(LoadReport before, LoadReport after) {
		Map<String, Spread> later = after.spread();
		List<Row> rows = new ArrayList<>();
		before.spread().forEach((name, first) -> {
			Spread second = later.get(name);
			if (second != null) {
				rows.add(new Row(name, first, second));
			}
		});
		return rows;
	}

	/**
	 * Writes rows as text.
	 * @param rows the rows, not null
	 * @return one line for each row
	 */
	public static String format(List<Row> rows) {
		StringBuilder text = new StringBuilder();
		for (Row row : rows) {
			text.append(String.format(Locale.ROOT, "%-28s %12.2f [%.2f..%.2f] %12.2f [%.2f..%.2f] %8s %s%n", row.name(),
					row.before().median(), row.before().min(), row.before().max(), row.after().median(),
					row.after().min(), row.after().max(), row.changeText(),
					row.isOutsideSpread() ? "differs" : "within spread"));
		}
		return text.toString();
	}

	/**
	 * Comparison of one figure.
	 *
	 * @param name the name of the figure
	 * @param before its spread in the first report
	 * @param after its spread in the second report
	 */
	public record Row(String name, Spread before, Spread after) {

		/**
		 * Returns whether the ranges of the runs do not overlap.
		 * @return true if the figure changed by more than the spread
		 */
		public boolean isOutsideSpread() {
			return this.before.max() < this.after.min() || this.after.max() < this.before.min();
		}

		/**
		 * Returns the change of the median.
		 * @return the change in percent, 0 if the first median is 0
		 */
		public double changePercent() {
			return (this.before.median() != 0)
					? (this.after.median() - this.before.median()) / this.before.median() * 100 : 0;
		}

		String changeText() {
			return String.format(Locale.ROOT, "%+.1f%%", changePercent());
		}

	}

}
