//! Filters, groups and tables.

use std::collections::BTreeMap;
use std::fmt::Write;

use conf::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Show;

/// How a field is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// The same text.
    Equal,
    /// Another text.
    NotEqual,
    /// A smaller number, or an earlier text where one side is no number.
    Less,
    /// A greater number, or a later text where one side is no number.
    Greater,
    /// A text with another one in it.
    Contains,
}

/// One condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter {
    /// The field.
    pub field: Name,
    /// How it is compared.
    pub relation: Relation,
    /// With what.
    pub value: Name,
}

/// Rows of the same fields.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Names of the fields.
    pub columns: Vec<Name>,
    /// The rows, one value for each field.
    pub rows: Vec<Vec<Value>>,
    /// Instances that could not be asked.
    #[serde(default)]
    pub missing: Vec<Name>,
}

/// A field that a filter or group names and the table does not have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownField {
    /// The field.
    pub field: Name,
    /// The fields that there are.
    pub known: Vec<Name>,
}

impl Table {
    /// Returns a table without rows.
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
    /// If the row has another number of values than the table has fields.
    pub fn push(&mut self, row: Vec<Value>) {
        assert_eq!(row.len(), self.columns.len(), "a row fits its table");
        self.rows.push(row);
    }

    /// Adds the rows of a table of the same fields.
    pub fn extend(&mut self, other: Table) {
        if self.columns.is_empty() {
            self.columns = other.columns;
        }
        self.rows.extend(other.rows);
        self.missing.extend(other.missing);
    }

    /// Returns the rows that a command asks for, counted by a field if it says so.
    ///
    /// # Errors
    ///
    /// If the command names a field that there is not.
    pub fn select(mut self, show: &Show) -> Result<Table, UnknownField> {
        for filter in &show.filters {
            let index = self.index(&filter.field)?;
            self.rows.retain(|row| filter.holds(&row[index]));
        }
        match &show.by {
            Some(field) => self.count_by(field),
            None => Ok(self),
        }
    }

    /// Returns the table for people: columns aligned, a line for each row.
    pub fn to_text(&self) -> String {
        let mut lines = vec![self.columns.iter().map(Name::to_string).collect::<Vec<_>>()];
        lines.extend(self.rows.iter().map(|row| row.iter().map(text).collect()));
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
            *counts.entry(text(&row[index])).or_default() += 1;
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
    fn holds(&self, value: &Value) -> bool {
        let own = text(value);
        let other = self.value.as_str();
        match self.relation {
            Relation::Equal => own == other,
            Relation::NotEqual => own != other,
            Relation::Contains => own.contains(other),
            Relation::Less => compare(&own, other).is_lt(),
            Relation::Greater => compare(&own, other).is_gt(),
        }
    }
}

fn compare(left: &str, right: &str) -> std::cmp::Ordering {
    match (left.parse::<f64>(), right.parse::<f64>()) {
        (Ok(left), Ok(right)) => left.total_cmp(&right),
        _ => left.cmp(right),
    }
}

fn text(value: &Value) -> String {
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
            panic!("the line shows something");
        };
        table.select(&show)
    }

    #[test]
    fn numbers_compare_as_numbers() {
        insta::assert_snapshot!(select("show servers where running < 10").unwrap().to_text(), @r"
        name  running
        a     9
        c     9
        ");
    }

    #[test]
    fn rows_are_counted_by_a_field() {
        insta::assert_snapshot!(select("show servers by running").unwrap().to_text(), @r"
        running  count
        10       1
        9        2
        ");
    }

    #[test]
    fn unknown_field_is_named_with_those_that_there_are() {
        let error = select("show servers where speed > 1").unwrap_err();
        assert_eq!(error.field, "speed");
        assert_eq!(error.known.len(), 2);
    }
}
