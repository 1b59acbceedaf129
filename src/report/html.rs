//! Reports as self-contained HTML pages without scripts or external files; plots are inline SVG.

use std::fmt::Write;

use super::burn::BURN_WINDOWS;
use super::burn::BurnReport;
use super::burn::BurnRow;
use super::burn::burn_rate;
use super::burn::spans;
use super::fairness::FairnessReport;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:70em}\
table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}\
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}\
.page{color:#b00020;font-weight:bold}.ticket{color:#8a5a00;font-weight:bold}\
svg{background:#fafafa;border:1px solid #ddd}h3{margin-bottom:.3em}";

/// Width of a plot in pixels.
const PLOT_WIDTH: f64 = 640.0;
/// Height of a plot in pixels.
const PLOT_HEIGHT: f64 = 120.0;

/// Points of a plot: time in seconds and value.
type PlotPoints = Vec<(u64, f64)>;

/// Renders the burn report as a page.
#[must_use]
pub fn burn_page(report: &BurnReport) -> String {
    let mut body = String::new();
    let _ = write!(
        body,
        "<p>Routers: {}. Counted for {} s. A rate of 1 uses up exactly the allowance.</p>",
        escape(&report.hosts.join(", ")),
        report.covered_s
    );
    push_missing(&mut body, report.missing.iter());
    body.push_str("<table><tr><th>team</th><th>kind</th><th>objective</th>");
    for span in spans() {
        let _ = write!(body, "<th>{}</th>", span_text(span));
    }
    body.push_str("<th>alert</th></tr>");
    for row in &report.rows {
        push_burn_row(&mut body, row);
    }
    body.push_str("</table>");
    for row in &report.rows {
        let _ = write!(
            body,
            "<h3>{} {}</h3>",
            escape(row.team.as_str()),
            escape(row.kind.as_str())
        );
        let points = row.series.iter().filter_map(|(at, counts)| {
            burn_rate(counts, row.objective_per_mille).map(|rate| (*at, rate))
        });
        let threshold = BURN_WINDOWS[0].threshold;
        body.push_str(&plot("burn rate", &points.collect(), Some(threshold)));
    }
    page("Service-level burn", &body)
}

/// Renders the fairness report as a page.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn fairness_page(report: &FairnessReport) -> String {
    let mut body = String::new();
    push_missing(&mut body, report.missing.iter());
    for pool in &report.pools {
        let _ = write!(body, "<h2>Pool {}</h2>", escape(pool.pool.as_str()));
        let _ = write!(
            body,
            "<p>Worst gap {} units, utilisation {}, idle while work waits {}.</p>",
            pool.worst_gap_units,
            percent_text(pool.utilisation),
            percent_text(pool.idle_while_waiting)
        );
        let gaps = pool.series.iter().map(|(at, s)| (*at, s.gap_units as f64));
        body.push_str(&plot("fairness gap, units", &gaps.collect(), None));
        let used = pool.series.iter().filter(|(_, sample)| sample.slots > 0);
        let used = used.map(|(at, sample)| {
            let part = f64::from(sample.running) / f64::from(sample.slots);
            (*at, 100.0 * part)
        });
        body.push_str(&plot("utilisation, %", &used.collect(), Some(100.0)));
    }
    body.push_str("<h2>Control traffic</h2>");
    for router in &report.routers {
        let _ = write!(body, "<h3>{}</h3>", escape(&router.host));
        let points = router.series.iter().map(|(at, rate)| (*at, *rate));
        body.push_str(&plot("bytes a second", &points.collect(), None));
    }
    page("Fairness", &body)
}

/// Formats a fraction as a percentage; `None` as a dash.
#[must_use]
pub fn percent_text(part: Option<f64>) -> String {
    part.map_or_else(|| "-".to_owned(), |part| format!("{:.1}%", 100.0 * part))
}

/// Formats a span in seconds in the largest unit that divides it, such as `5m`.
#[must_use]
pub fn span_text(span_s: u64) -> String {
    match span_s {
        s if s % 86_400 == 0 => format!("{}d", s / 86_400),
        s if s % 3_600 == 0 => format!("{}h", s / 3_600),
        s if s % 60 == 0 => format!("{}m", s / 60),
        s => format!("{s}s"),
    }
}

/// Formats a burn rate; `None` as a dash.
#[must_use]
pub fn rate_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}

fn push_burn_row(body: &mut String, row: &BurnRow) {
    let _ = write!(
        body,
        "<tr><td>{}</td><td>{}</td><td>{:.1}%</td>",
        escape(row.team.as_str()),
        escape(row.kind.as_str()),
        f64::from(row.objective_per_mille) / 10.0
    );
    for span in spans() {
        let rate = row.rates.get(&span).copied().flatten();
        let _ = write!(body, "<td>{}</td>", rate_text(rate));
    }
    let alert = row.alert.map_or("", |alert| match alert {
        super::burn::BurnAlert::Page => "page",
        super::burn::BurnAlert::Ticket => "ticket",
    });
    let _ = write!(body, "<td class=\"{alert}\">{alert}</td></tr>");
}

fn push_missing<'a>(body: &mut String, missing: impl Iterator<Item = (&'a String, &'a String)>) {
    for (host, reason) in missing {
        let _ = write!(
            body,
            "<p class=\"page\">{} did not answer: {}</p>",
            escape(host),
            escape(reason)
        );
    }
}

/// Draws a line plot over time that names its upper limit, with a dashed line at `mark`.
#[allow(clippy::cast_precision_loss)]
fn plot(label: &str, points: &PlotPoints, mark: Option<f64>) -> String {
    let (Some(first), Some(last)) = (points.first(), points.last()) else {
        return format!("<p>{label}: nothing in this time.</p>");
    };
    let top = points.iter().map(|(_, value)| *value).fold(0.0, f64::max);
    let top = top.max(mark.unwrap_or(0.0)).max(1e-9);
    let span = (last.0 - first.0).max(1) as f64;
    let height = |value: f64| PLOT_HEIGHT - value / top * (PLOT_HEIGHT - 16.0);
    let mut line = String::new();
    for (at, value) in points {
        let x = (at - first.0) as f64 / span * PLOT_WIDTH;
        let _ = write!(line, "{x:.1},{:.1} ", height(*value));
    }
    let mut svg = format!(
        "<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\" aria-label=\"{label}\">\
         <text x=\"4\" y=\"12\" font-size=\"11\">{label}, top {top:.2}</text>\
         <polyline fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"1.5\" points=\"{}\"/>",
        line.trim_end()
    );
    if let Some(mark) = mark {
        let y = height(mark);
        let _ = write!(
            svg,
            "<line x1=\"0\" x2=\"{PLOT_WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#b00020\" \
             stroke-dasharray=\"4 4\"/>"
        );
    }
    svg.push_str("</svg>");
    svg
}

fn page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>{body}</body></html>\n"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hosts_and_errors_are_escaped_in_html() {
        let report = BurnReport {
            hosts: vec!["<script>alert(1)</script>".to_owned()],
            missing: std::iter::once(("a".to_owned(), "<b>".to_owned())).collect(),
            covered_s: 0,
            rows: Vec::new(),
        };
        let page = burn_page(&report);
        assert!(!page.contains("<script>"));
        assert!(page.contains("&lt;b&gt;"));
    }

    #[test]
    fn spans_are_formatted_in_their_largest_unit() {
        let texts: Vec<String> = spans().into_iter().map(span_text).collect();
        assert_eq!(texts, ["5m", "30m", "1h", "6h", "3d"]);
    }
}
