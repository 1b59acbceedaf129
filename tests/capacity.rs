//! Consistency check of docs/CAPACITY.md: each figure in its tables must follow from the sizes and
//! slopes that the page lists, by the formula that the page gives.

use std::collections::BTreeMap;

const PAGE: &str = include_str!("../docs/CAPACITY.md");
/// Tolerance for rounding of stated figures: one part in this many of the computed figure.
const ROUNDING: f64 = 100.0;

/// A value at the current size and at the size that the design must support.
#[derive(Debug, Clone, Copy)]
struct SizedValue {
    today: f64,
    design: f64,
}

/// A table row whose figures are computed by a formula.
#[derive(Debug)]
struct FormulaRow {
    name: String,
    formula: String,
    stated: SizedValue,
    limit: Option<f64>,
    verdict: String,
}

/// Splits a table row into cells without their backticks.
fn cells(line: &str) -> Vec<String> {
    let inner = line.trim().trim_matches('|');
    inner
        .split('|')
        .map(|cell| cell.trim().trim_matches('`').to_owned())
        .collect()
}

fn number(text: &str) -> f64 {
    let plain = text.replace(',', "");
    plain
        .parse()
        .unwrap_or_else(|_| panic!("not a number: {text}"))
}

/// Returns the rows of all tables whose header begins with these cells.
fn rows(headers: &[&str]) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    let mut inside = false;
    for line in PAGE.lines() {
        if !line.starts_with('|') {
            inside = false;
            continue;
        }
        let row = cells(line);
        let begins = row.len() >= headers.len() && row.iter().zip(headers).all(|(a, b)| a == b);
        if begins {
            inside = true;
        } else if inside && !line.starts_with("|-") {
            found.push(row);
        }
    }
    assert!(!found.is_empty(), "no table with {headers:?}");
    found
}

fn inputs() -> BTreeMap<String, SizedValue> {
    let sizes = rows(&["size", "today", "design"]).into_iter().map(|row| {
        let (today, design) = (number(&row[1]), number(&row[2]));
        (row[0].clone(), SizedValue { today, design })
    });
    let slopes = rows(&["figure", "value"]).into_iter().map(|row| {
        let value = number(&row[1]);
        let (today, design) = (value, value);
        (row[0].clone(), SizedValue { today, design })
    });
    sizes.chain(slopes).collect()
}

fn formula_rows() -> Vec<FormulaRow> {
    let headers = ["row", "arithmetic", "today", "design", "limit", "verdict"];
    let table = rows(&headers).into_iter();
    table
        .map(|row| FormulaRow {
            name: row[0].clone(),
            formula: row[1].clone(),
            stated: SizedValue {
                today: number(&row[2]),
                design: number(&row[3]),
            },
            limit: (row[4] != "-").then(|| number(&row[4])),
            verdict: row[5].clone(),
        })
        .collect()
}

/// Evaluates sums, products and quotients of named values and numbers.
struct Arithmetic<'a> {
    tokens: Vec<String>,
    place: usize,
    values: &'a BTreeMap<String, f64>,
}

impl<'a> Arithmetic<'a> {
    fn new(text: &str, values: &'a BTreeMap<String, f64>) -> Self {
        let mut spaced = text.to_owned();
        for sign in ["(", ")", "+", "*", "/"] {
            spaced = spaced.replace(sign, &format!(" {sign} "));
        }
        Self {
            tokens: spaced.split_whitespace().map(str::to_owned).collect(),
            place: 0,
            values,
        }
    }

    fn result(mut self) -> f64 {
        let value = self.sum();
        assert_eq!(
            self.place,
            self.tokens.len(),
            "unparsed tokens: {:?}",
            self.tokens
        );
        value
    }

    fn consume(&mut self, sign: &str) -> bool {
        let is_next = self
            .tokens
            .get(self.place)
            .is_some_and(|token| token == sign);
        self.place += usize::from(is_next);
        is_next
    }

    fn sum(&mut self) -> f64 {
        let mut value = self.product();
        while self.consume("+") {
            value += self.product();
        }
        value
    }

    fn product(&mut self) -> f64 {
        let mut value = self.factor();
        loop {
            if self.consume("*") {
                value *= self.factor();
            } else if self.consume("/") {
                value /= self.factor();
            } else {
                return value;
            }
        }
    }

    fn factor(&mut self) -> f64 {
        if self.consume("(") {
            let value = self.sum();
            assert!(self.consume(")"), "missing closing parenthesis");
            return value;
        }
        let token = self.tokens[self.place].clone();
        self.place += 1;
        let known = self.values.get(&token).copied();
        known.unwrap_or_else(|| number(&token))
    }
}

fn differs(stated: f64, computed: f64) -> bool {
    (stated - computed).abs() > computed.abs() / ROUNDING
}

#[test]
fn every_figure_follows_from_the_stated_sizes_and_slopes() {
    let known = inputs();
    let at = |read: &dyn Fn(&SizedValue) -> f64| -> BTreeMap<String, f64> {
        let values = known.iter();
        values
            .map(|(name, value)| (name.clone(), read(value)))
            .collect()
    };
    let (mut today, mut design) = (at(&|value| value.today), at(&|value| value.design));
    let mut faults = Vec::new();
    for row in formula_rows() {
        let computed = SizedValue {
            today: Arithmetic::new(&row.formula, &today).result(),
            design: Arithmetic::new(&row.formula, &design).result(),
        };
        let wrong = differs(row.stated.today, computed.today)
            || differs(row.stated.design, computed.design);
        if wrong {
            faults.push(format!(
                "{}: {computed:?}, stated {:?}",
                row.name, row.stated
            ));
        }
        let verdict = match row.limit {
            None => "-",
            Some(limit) if computed.design <= limit => "holds",
            Some(_) => "FAILS",
        };
        if row.verdict != verdict {
            faults.push(format!("{}: {verdict}, stated {}", row.name, row.verdict));
        }
        today.insert(row.name.clone(), computed.today);
        design.insert(row.name, computed.design);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_wrong_figure_is_detected() {
    let values = BTreeMap::from([("rate".to_owned(), 2.5), ("nodes".to_owned(), 8.0)]);
    let formula = Arithmetic::new("rate * (nodes + 2) / 5", &values);
    let computed = formula.result();
    assert!(!differs(5.0, computed));
    assert!(differs(5.1, computed));
}
