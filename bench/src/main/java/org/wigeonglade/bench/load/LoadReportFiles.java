package org.wigeonglade.bench.load;

import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.google.common.html.HtmlEscapers;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import org.wigeonglade.bench.load.LoadMeasurement.Point;
import org.wigeonglade.bench.load.LoadReport.Spread;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Writes a report as JSON, CSV and HTML with SVG plots, and reads the JSON again.
 */
public final class LoadReportFiles {

	private static final int WIDTH = 760;

	private static final int HEIGHT = 360;

	private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	private LoadReportFiles() {
	}

	/**
	 * Writes {@code <name>.json}, {@code <name>.csv} and {@code <name>.html}.
	 * @param report the report, not null
	 * @param folder the folder, created if missing
	 * @param name the name of the files without extension
	 * @return the JSON file
	 */
	public static Path write(LoadReport report, Path folder, String name) {
		try {
			Files.createDirectories(folder);
			Path json = folder.resolve(name + ".json");
			Files.write(json, JSON.writeValueAsBytes(report));
			Files.writeString(folder.resolve(name + ".csv"), csv(report));
			Files.writeString(folder.resolve(name + ".html"), html(report));
			return json;
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					"the report cannot be written to " + folder, ex);
		}
	}

	/**
	 * Reads a report from its JSON file.
	 * @param file the file, not null
	 * @return the report, never null
	 * @throws InvalidRequestException if the file cannot be read
	 */
	public static LoadReport read(Path file) {
		try {
			return JSON.readValue(Files.readAllBytes(file), LoadReport.class);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, "the report " + file + " cannot be read",
					ex);
		}
	}

	/**
	 * Returns a report as CSV, one line for each run and figure.
	 * @param report the report, not null
	 * @return the text, never null
	 */
	public static String csv(LoadReport report) {
		StringBuilder text = new StringBuilder("run,seed,figure,value\n");
		for (LoadMeasurement run : report.runs()) {
			run.figures()
				.forEach((name, value) -> text
					.append(String.format(Locale.ROOT, "%s,%d,%s,%.3f%n", run.name(), run.seed(), name, value)));
		}
		return text.toString();
	}

	/**
	 * Returns a report as a page without outside references.
	 * @param report the report, not null
	 * @return the page, never null
	 */
	public static String html(LoadReport report) {
		StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>");
		page.append(escape(report.title())).append("</title><h1>").append(escape(report.title())).append("</h1><ul>");
		report.conditions()
			.forEach((name, value) -> page.append("<li>")
				.append(escape(name))
				.append(": ")
				.append(escape(value))
				.append("</li>"));
		page.append("</ul><table><tr><th>figure<th>median<th>min<th>max<th>runs</tr>");
		for (Map.Entry<String, Spread> row : report.spread().entrySet()) {
			Spread spread = row.getValue();
			page.append(String.format(Locale.ROOT, "<tr><td>%s<td>%.2f<td>%.2f<td>%.2f<td>%d</tr>",
					escape(row.getKey()), spread.median(), spread.min(), spread.max(), spread.runs()));
		}
		page.append("</table>");
		curves(report)
			.forEach((name, runs) -> page.append("<h2>").append(escape(name)).append("</h2>").append(plot(name, runs)));
		return page.append("</html>\n").toString();
	}

	private static Map<String, Map<String, List<Point>>> curves(LoadReport report) {
		Map<String, Map<String, List<Point>>> curves = new LinkedHashMap<>();
		for (LoadMeasurement run : report.runs()) {
			run.curves()
				.forEach((name, points) -> curves.computeIfAbsent(name, (ignored) -> new LinkedHashMap<>())
					.put(run.name() + " seed " + run.seed(), points));
		}
		return curves;
	}

	private static String plot(String name, Map<String, List<Point>> runs) {
		XYSeriesCollection data = new XYSeriesCollection();
		runs.forEach((run, points) -> {
			XYSeries series = new XYSeries(run);
			points.forEach((point) -> series.add(point.percentile(), point.millis()));
			data.addSeries(series);
		});
		JFreeChart chart = ChartFactory.createXYLineChart(name, "percentile", "ms", data, PlotOrientation.VERTICAL,
				true, false, false);
		SVGGraphics2D canvas = new SVGGraphics2D(WIDTH, HEIGHT);
		chart.draw(canvas, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
		return canvas.getSVGElement();
	}

	private static String escape(String text) {
		return HtmlEscapers.htmlEscaper().escape(text);
	}

}
