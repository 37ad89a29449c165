//! Tables, and the filters and groups of queries.

use std::collections::BTreeMap;
use std::fmt::Write;

use conf::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Show;

/// Comparison of a field with a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// The field's text equals the value.
    Equal,
    /// The field's text differs from the value.
    NotEqual,
    /// The field is less than the value: numerically if both are numbers, otherwise in text order.
    Less,
    /// The field is greater than the value: numerically if both are numbers, otherwise in text
    /// order.
    Greater,
    /// The field's text contains the value.
    Contains,
}

/// One condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter {
    /// Name of the field.
    pub field: Name,
    /// The comparison.
    pub relation: Relation,
    /// The value that the field is compared with.
    pub value: Name,
}

/// A table of JSON values.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<Name>,
    /// The rows, with one value for each column.
    pub rows: Vec<Vec<Value>>,
    /// Names of the instances that could not be queried, whose rows are not included.
    #[serde(default)]
    pub missing: Vec<Name>,
}

/// Error of a query whose filter or group names a field that the table does not have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownField {
    /// Name of the unknown field.
    pub field: Name,
    /// Names of the table's fields.
    pub known: Vec<Name>,
}

impl Table {
    /// Returns an empty table with the given columns.
    pub fn new(columns: &[&str]) -> Table {
        Table {
            columns: columns.iter().map(|column| Name::from(*column)).collect(),
            ..Table::default()
        }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// If the number of values differs from the number of columns.
    pub fn push(&mut self, row: Vec<Value>) {
        assert_eq!(
            row.len(),
            self.columns.len(),
            "a row must have one value for each column"
        );
        self.rows.push(row);
    }

    /// Appends the rows of a table with the same columns. An empty table takes over the columns
    /// too.
    pub fn extend(&mut self, other: Table) {
        if self.columns.is_empty() {
            self.columns = other.columns;
        }
        self.rows.extend(other.rows);
        self.missing.extend(other.missing);
    }

    /// Returns the rows that satisfy a query's filters, or their counts by the field that the query
    /// groups by.
    ///
    /// # Errors
    ///
    /// If the query names a field that the table does not have.
    pub fn select(mut self, show: &Show) -> Result<Table, UnknownField> {
        for filter in &show.filters {
            let index = self.index(&filter.field)?;
            self.rows.retain(|row| filter.matches(&row[index]));
        }
        match &show.by {
            Some(field) => self.count_by(field),
            None => Ok(self),
        }
    }

    /// Formats the table as text with aligned columns and a line for each row. Instances that could
    /// not be queried follow at the end.
    pub fn to_text(&self) -> String {
        let mut lines = vec![self.columns.iter().map(Name::to_string).collect::<Vec<_>>()];
        lines.extend(
            self.rows
                .iter()
                .map(|row| row.iter().map(display_text).collect()),
        );
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|column| {
                lines
                    .iter()
                    .map(|l: &Vec<String>| l[column].chars().count())
                    .max()
            })
            .map(Option::unwrap_or_default)
            .collect();
        let mut out = String::new();
        for line in &lines {
            let cells = line.iter().zip(&widths);
            let padded: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
            let _ = writeln!(out, "{}", padded.join("  ").trim_end());
        }
        for name in &self.missing {
            let _ = writeln!(out, "not asked: {name}");
        }
        out
    }

    fn index(&self, field: &Name) -> Result<usize, UnknownField> {
        self.columns
            .iter()
            .position(|column| column == field)
            .ok_or_else(|| UnknownField {
                field: field.clone(),
                known: self.columns.clone(),
            })
    }

    fn count_by(self, field: &Name) -> Result<Table, UnknownField> {
        let index = self.index(field)?;
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for row in &self.rows {
            *counts.entry(display_text(&row[index])).or_default() += 1;
        }
        let mut table = Table::new(&[field.as_str(), "count"]);
        table.missing = self.missing;
        for (value, count) in counts {
            table.push(vec![value.into(), count.into()]);
        }
        Ok(table)
    }
}

impl Filter {
    fn matches(&self, value: &Value) -> bool {
        let actual = display_text(value);
        let operand = self.value.as_str();
        match self.relation {
            Relation::Equal => actual == operand,
            Relation::NotEqual => actual != operand,
            Relation::Contains => actual.contains(operand),
            Relation::Less => compare(&actual, operand).is_lt(),
            Relation::Greater => compare(&actual, operand).is_gt(),
        }
    }
}

fn compare(left: &str, right: &str) -> std::cmp::Ordering {
    match (left.parse::<f64>(), right.parse::<f64>()) {
        (Ok(left), Ok(right)) => left.total_cmp(&right),
        _ => left.cmp(right),
    }
}

fn display_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Command;
    use crate::parse::parse;

    fn select(line: &str) -> Result<Table, UnknownField> {
        let mut table = Table::new(&["name", "running"]);
        table.push(vec!["a".into(), 9.into()]);
        table.push(vec!["b".into(), 10.into()]);
        table.push(vec!["c".into(), 9.into()]);
        let Ok(Command::Show(show)) = parse(line) else {
            panic!("the line is not a show command");
        };
        table.select(&show)
    }

    #[test]
    fn numbers_are_compared_numerically() {
        insta::assert_snapshot!(select("show servers where running < 10").unwrap().to_text(), @r"
        name  running
        a     9
        c     9
        ");
    }

    #[test]
    fn rows_are_grouped_and_counted() {
        insta::assert_snapshot!(select("show servers by running").unwrap().to_text(), @r"
        running  count
        10       1
        9        2
        ");
    }

    #[test]
    fn unknown_field_error_lists_the_known_fields() {
        let error = select("show servers where speed > 1").unwrap_err();
        assert_eq!(error.field, "speed");
        assert_eq!(error.known.len(), 2);
    }
}
