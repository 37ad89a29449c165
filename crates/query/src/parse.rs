//! Parser of the command language.

use conf::Kind;
use conf::Name;
use conf::Version;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::delimited;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::token::rest;
use winnow::token::take_till;
use winnow::token::take_while;

use crate::Action;
use crate::Change;
use crate::Command;
use crate::Error;
use crate::Show;
use crate::Subject;
use crate::table::Filter;
use crate::table::Relation;

/// Maximum length of a line, in bytes.
const LINE_BYTES_MAX: usize = 64 * 1_024;

/// Parses one command line.
///
/// # Errors
///
/// If the line is too long or not a valid command. The error has the column of the first unexpected
/// input and a description of what was expected there.
pub fn parse(line: &str) -> Result<Command, Error> {
    if line.len() > LINE_BYTES_MAX {
        let limit = format!("a line of at most {LINE_BYTES_MAX} bytes");
        return Err(Error::new(LINE_BYTES_MAX + 1, vec![limit]));
    }
    let line_parser = delimited(multispace0, command, (multispace0, end_of_line));
    let mut parser = line_parser;
    parser.parse(line).map_err(|error| {
        let column = line[..error.offset()].chars().count() + 1;
        let at_start = line[..error.offset()].trim().is_empty();
        Error::new(column, expected(error.inner(), at_start))
    })
}

/// Returns the description of what was expected: that of the innermost parser, or that of the
/// outermost one if the first keyword is already wrong.
fn expected(error: &ContextError, at_start: bool) -> Vec<String> {
    let names: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    let description = if at_start {
        names.last()
    } else {
        names.first()
    };
    let description = description.map_or("a command", String::as_str);
    vec![description.to_string()]
}

fn describe(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

fn end_of_line(input: &mut &str) -> ModalResult<()> {
    eof.void()
        .context(describe("the end of the line"))
        .parse_next(input)
}

fn command(input: &mut &str) -> ModalResult<Command> {
    alt((
        preceded(keyword("show"), cut_err(show)).map(Command::Show),
        change.map(Command::Change),
        keyword("history").value(Command::History),
        preceded(keyword("report"), cut_err(keyword("burn"))).value(Command::ReportBurnRates),
    ))
    .context(describe(
        "one of show, take, bring, drain, undrain, set, put, remove, history, report",
    ))
    .parse_next(input)
}

fn change(input: &mut &str) -> ModalResult<Change> {
    let action = alt((take_out, bring_back, drain, undrain, set, put, remove)).parse_next(input)?;
    let expected_version = opt(expected_version).parse_next(input)?;
    Ok(Change {
        action,
        expected_version,
    })
}

fn expected_version(input: &mut &str) -> ModalResult<Version> {
    preceded(keyword("if"), cut_err(preceded(keyword("version"), number))).parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<Version> {
    bare_word
        .verify_map(|text: &str| text.parse().ok())
        .context(describe("a number"))
        .parse_next(input)
}

fn take_out(input: &mut &str) -> ModalResult<Action> {
    keyword("take").parse_next(input)?;
    let name =
        cut_err(preceded((keyword("out"), keyword("data-centre")), name)).parse_next(input)?;
    let last =
        opt((keyword("even"), cut_err((keyword("if"), keyword("last"))))).parse_next(input)?;
    Ok(Action::TakeOut {
        name,
        even_if_last: last.is_some(),
    })
}

fn bring_back(input: &mut &str) -> ModalResult<Action> {
    keyword("bring").parse_next(input)?;
    cut_err(preceded((keyword("back"), keyword("data-centre")), name))
        .map(|name| Action::BringBack { name })
        .parse_next(input)
}

fn drain(input: &mut &str) -> ModalResult<Action> {
    preceded(keyword("drain"), cut_err(preceded(keyword("server"), name)))
        .map(|server| Action::Drain { server })
        .parse_next(input)
}

fn undrain(input: &mut &str) -> ModalResult<Action> {
    preceded(
        keyword("undrain"),
        cut_err(preceded(keyword("server"), name)),
    )
    .map(|server| Action::Undrain { server })
    .parse_next(input)
}

fn set(input: &mut &str) -> ModalResult<Action> {
    keyword("set").parse_next(input)?;
    let (kind, name, field, value) = cut_err((kind, name, name, value)).parse_next(input)?;
    Ok(Action::Set {
        kind,
        name,
        field,
        value,
    })
}

fn put(input: &mut &str) -> ModalResult<Action> {
    keyword("put").parse_next(input)?;
    let (kind, name, value) = cut_err((kind, name, json_value)).parse_next(input)?;
    Ok(Action::Put { kind, name, value })
}

fn remove(input: &mut &str) -> ModalResult<Action> {
    keyword("remove").parse_next(input)?;
    let (kind, name) = cut_err((kind, name)).parse_next(input)?;
    Ok(Action::Remove { kind, name })
}

fn show(input: &mut &str) -> ModalResult<Show> {
    let subject = subject.parse_next(input)?;
    let filters = opt(preceded(keyword("where"), cut_err(filters))).parse_next(input)?;
    let by = opt(preceded(keyword("by"), cut_err(name))).parse_next(input)?;
    Ok(Show {
        subject,
        filters: filters.unwrap_or_default(),
        by,
    })
}

fn subject(input: &mut &str) -> ModalResult<Subject> {
    bare_word.verify_map(|text: &str| {
        let found = Subject::ALL.into_iter().find(|(keyword, _)| *keyword == text);
        found.map(|(_, subject)| subject)
    })
    .context(describe(
        "one of instances, servers, routes, requests, data-centres, pools, organisations, config",
    ))
    .parse_next(input)
}

fn filters(input: &mut &str) -> ModalResult<Vec<Filter>> {
    let first = filter.parse_next(input)?;
    let more: Vec<Filter> =
        repeat(0.., preceded(keyword("and"), cut_err(filter))).parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

fn filter(input: &mut &str) -> ModalResult<Filter> {
    let (field, relation, value) = (name, relation, name).parse_next(input)?;
    Ok(Filter {
        field,
        relation,
        value,
    })
}

fn relation(input: &mut &str) -> ModalResult<Relation> {
    let operator = alt((
        "!=".value(Relation::NotEqual),
        "=".value(Relation::Equal),
        "<".value(Relation::Less),
        ">".value(Relation::Greater),
        "contains".value(Relation::Contains),
    ));
    terminated(operator, multispace0)
        .context(describe("one of =, !=, <, >, contains"))
        .parse_next(input)
}

fn kind(input: &mut &str) -> ModalResult<Kind> {
    bare_word
        .verify_map(|text: &str| text.parse().ok())
        .context(describe("one of organisation, data-centre, pool, route"))
        .parse_next(input)
}

/// Returns a parser of one keyword.
fn keyword<'a>(expected: &'static str) -> impl FnMut(&mut &'a str) -> ModalResult<()> {
    move |input: &mut &'a str| {
        bare_word
            .verify(|text: &str| text == expected)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(
                expected,
            )))
            .parse_next(input)
    }
}

/// Parses a name, quoted or unquoted.
fn name(input: &mut &str) -> ModalResult<Name> {
    alt((quoted, bare_word))
        .map(Name::from)
        .context(describe("a name"))
        .parse_next(input)
}

/// Parses an unquoted word, which ends at whitespace, a comparison operator or a quotation mark.
fn bare_word<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let ends = |c: char| c.is_whitespace() || matches!(c, '=' | '!' | '<' | '>' | '"');
    terminated(take_while(1.., move |c| !ends(c)), multispace0).parse_next(input)
}

fn quoted<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    terminated(delimited('"', take_till(0.., '"'), '"'), multispace0).parse_next(input)
}

/// Parses the value of a field and returns it as JSON. Quoted text, and an unquoted word that is
/// not valid JSON, become strings.
fn value(input: &mut &str) -> ModalResult<String> {
    if input.starts_with(['{', '[']) {
        return json_value.parse_next(input);
    }
    let is_quoted_text = input.starts_with('"');
    let text = alt((quoted, bare_word))
        .context(describe("a value"))
        .parse_next(input)?;
    let is_json = serde_json::from_str::<serde_json::Value>(text).is_ok();
    if is_json && !is_quoted_text {
        Ok(text.to_string())
    } else {
        Ok(serde_json::Value::from(text).to_string())
    }
}

/// Parses one JSON value and leaves the input after it.
fn json_value(input: &mut &str) -> ModalResult<String> {
    let start: &str = input;
    let mut values = serde_json::Deserializer::from_str(start).into_iter::<serde_json::Value>();
    let Some(Ok(parsed)) = values.next() else {
        let error: ModalResult<()> = Err(ErrMode::Backtrack(ContextError::new()));
        let fail = |_: &mut &str| error.clone();
        return fail
            .context(describe("a JSON value"))
            .map(|()| String::new())
            .parse_next(input);
    };
    let length = values.byte_offset();
    *input = &start[length..];
    multispace0.parse_next(input)?;
    Ok(parsed.to_string())
}

/// Returns the command lines of a file with their line numbers, counted from one. Skips empty lines
/// and comments, which begin with `#`.
pub fn command_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line.trim()))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

/// Returns the rest of a line that begins with the keyword `first`, or `None` if it begins
/// otherwise. Used for commands that the client handles itself.
pub fn strip_keyword<'a>(line: &'a str, first: &'static str) -> Option<&'a str> {
    let mut input = line.trim();
    let parsed: ModalResult<&str> = preceded(keyword(first), rest).parse_next(&mut input);
    parsed.ok()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn parse_to_text(line: &str) -> String {
        match parse(line) {
            Ok(command) => format!("{command:?}"),
            Err(error) => error.to_string(),
        }
    }

    #[test]
    fn commands_are_parsed() {
        insta::assert_snapshot!(
            parse_to_text("show servers where pool = letters and running > 3 by data-centre"),
            @r#"Show(Show { subject: Servers, filters: [Filter { field: "pool", relation: Equal, value: "letters" }, Filter { field: "running", relation: Greater, value: "3" }], by: Some("data-centre") })"#
        );
        insta::assert_snapshot!(
            parse_to_text("take out data-centre east even if last if version 7"),
            @r#"Change(Change { action: TakeOut { name: "east", even_if_last: true }, expected_version: Some(7) })"#
        );
        insta::assert_snapshot!(
            parse_to_text(r#"set pool letters model "m 2""#),
            @r#"Change(Change { action: Set { kind: Pool, name: "letters", field: "model", value: "\"m 2\"" }, expected_version: None })"#
        );
        insta::assert_snapshot!(
            parse_to_text(r#"put route r {"pool": "p"} if version 1"#),
            @r#"Change(Change { action: Put { kind: Route, name: "r", value: "{\"pool\":\"p\"}" }, expected_version: Some(1) })"#
        );
    }

    #[test]
    fn errors_report_the_column_and_the_expected_input() {
        insta::assert_snapshot!(parse_to_text("shwo servers"), @"column 1: expected one of show, take, bring, drain, undrain, set, put, remove, history, report");
        insta::assert_snapshot!(parse_to_text("show server"), @"column 6: expected one of instances, servers, routes, requests, data-centres, pools, organisations, config");
        insta::assert_snapshot!(parse_to_text("take out data-centre"), @"column 21: expected a name");
        insta::assert_snapshot!(parse_to_text("history now"), @"column 9: expected the end of the line");
    }

    proptest! {
        #[test]
        fn arbitrary_lines_do_not_panic(line in ".{0,200}") {
            let _ = parse(&line);
        }

        #[test]
        fn lines_of_keywords_do_not_panic(words in proptest::collection::vec(
            prop_oneof![
                Just("show"), Just("where"), Just("="), Just("{"), Just("\""), Just("set"),
                Just("if"), Just("version"), Just("9"), Just("pool"), Just("put"), Just("[1,"),
            ], 0..10)) {
            let _ = parse(&words.join(" "));
        }
    }
}
