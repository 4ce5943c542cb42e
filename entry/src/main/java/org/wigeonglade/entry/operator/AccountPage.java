package org.wigeonglade.entry.operator;

import com.google.common.escape.Escaper;
import com.google.common.html.HtmlEscapers;
import org.wigeonglade.core.account.Account;
import org.wigeonglade.core.account.AccountQuery;

/**
 * HTML view of an account. The page uses no scripts.
 */
final class AccountPage {

	private static final Escaper ESCAPER = HtmlEscapers.htmlEscaper();

	private static final String HEAD = """
			<!DOCTYPE html>
			<html lang="en"><head><meta charset="utf-8"><title>Account</title>
			<style>body{font-family:sans-serif;max-width:50em;margin:2em auto;line-height:1.5}
			time{color:#555}.detail{color:#555;font-size:smaller}.gaps{border-left:.3em solid #b50;padding-left:1em}
			</style></head><body><h1>Account</h1>
			<form method="get"><label>About <select name="kind">
			<option>request</option><option>item</option><option>batch</option><option>host</option>
			<option>upstream</option><option>partition</option><option>config</option><option>fingerprint</option>
			<option>period</option></select></label>
			<label> named <input name="id"></label>
			<label> from <input name="from" placeholder="2026-01-31T08:00:00Z"></label>
			<label> to <input name="to" placeholder="2026-01-31T09:00:00Z"></label>
			<label><input type="checkbox" name="verbose" value="true"> with figures</label>
			<button>Show</button></form>
			""";

	private AccountPage() {
	}

	static String renderForm() {
		return HEAD + "<p>Choose what the account is about. A period takes no name.</p></body></html>";
	}

	static String renderError(String message) {
		return HEAD + "<p role=\"alert\">" + ESCAPER.escape(message) + "</p></body></html>";
	}

	static String render(AccountQuery query, Account account, boolean verbose) {
		StringBuilder page = new StringBuilder(HEAD);
		page.append("<h2>").append(ESCAPER.escape(query.subjectKind() + " " + query.subjectId())).append("</h2><p>");
		page.append(ESCAPER.escape(account.summary())).append("</p><ol>");
		for (Account.Statement statement : account.statements()) {
			page.append("<li><time>").append(ESCAPER.escape(statement.time())).append("</time> ");
			page.append(ESCAPER.escape(statement.sentence()));
			appendDetail(page, statement.detail(), verbose);
			page.append("</li>\n");
		}
		page.append("</ol>");
		if (!account.gaps().isEmpty()) {
			page.append("<div class=\"gaps\"><h2>What is not known</h2><ul>");
			for (Account.Gap gap : account.gaps()) {
				page.append("<li>").append(ESCAPER.escape(gap.sentence()));
				appendDetail(page, gap.detail(), verbose);
				page.append("</li>\n");
			}
			page.append("</ul></div>");
		}
		return page.append("</body></html>").toString();
	}

	private static void appendDetail(StringBuilder page, String detail, boolean verbose) {
		if (verbose && !detail.isEmpty()) {
			page.append("<div class=\"detail\">").append(ESCAPER.escape(detail)).append("</div>");
		}
	}

}
