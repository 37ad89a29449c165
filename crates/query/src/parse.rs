//! The grammar.

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

/// Longest line, in bytes.
const LINE_BYTES: usize = 64 * 1_024;

/// Reads one line.
///
/// # Errors
///
/// If the line is no command: the column at which it stops being one, and what was expected there.
pub fn parse(line: &str) -> Result<Command, Error> {
    if line.len() > LINE_BYTES {
        let limit = format!("a line of at most {LINE_BYTES} bytes");
        return Err(Error::new(LINE_BYTES + 1, vec![limit]));
    }
    let whole = delimited(multispace0, command, (multispace0, end));
    let mut parser = whole;
    parser.parse(line).map_err(|error| {
        let column = line[..error.offset()].chars().count() + 1;
        let at_start = line[..error.offset()].trim().is_empty();
        Error::new(column, expected(error.inner(), at_start))
    })
}

/// Returns the innermost expectation, or the outermost one where not even the first word fits.
fn expected(error: &ContextError, at_start: bool) -> Vec<String> {
    let names: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    let chosen = if at_start {
        names.last()
    } else {
        names.first()
    };
    let chosen = chosen.map_or("a command", String::as_str);
    vec![chosen.to_string()]
}

fn describe(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

fn end(input: &mut &str) -> ModalResult<()> {
    eof.void()
        .context(describe("the end of the line"))
        .parse_next(input)
}

fn command(input: &mut &str) -> ModalResult<Command> {
    alt((
        preceded(word("show"), cut_err(show)).map(Command::Show),
        change.map(Command::Change),
        word("history").value(Command::History),
        preceded(word("report"), cut_err(word("burn"))).value(Command::Burn),
    ))
    .context(describe(
        "one of show, take, bring, drain, undrain, set, put, remove, history, report",
    ))
    .parse_next(input)
}

fn change(input: &mut &str) -> ModalResult<Change> {
    let action = alt((take_out, bring_back, drain, undrain, set, put, remove)).parse_next(input)?;
    let guard = opt(guard).parse_next(input)?;
    Ok(Change { action, guard })
}

fn guard(input: &mut &str) -> ModalResult<Version> {
    preceded(word("if"), cut_err(preceded(word("version"), number))).parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<Version> {
    bare.verify_map(|text: &str| text.parse().ok())
        .context(describe("a number"))
        .parse_next(input)
}

fn take_out(input: &mut &str) -> ModalResult<Action> {
    word("take").parse_next(input)?;
    let name = cut_err(preceded((word("out"), word("data-centre")), name)).parse_next(input)?;
    let last = opt((word("even"), cut_err((word("if"), word("last"))))).parse_next(input)?;
    Ok(Action::TakeOut {
        name,
        even_if_last: last.is_some(),
    })
}

fn bring_back(input: &mut &str) -> ModalResult<Action> {
    word("bring").parse_next(input)?;
    cut_err(preceded((word("back"), word("data-centre")), name))
        .map(|name| Action::BringBack { name })
        .parse_next(input)
}

fn drain(input: &mut &str) -> ModalResult<Action> {
    preceded(word("drain"), cut_err(preceded(word("server"), name)))
        .map(|server| Action::Drain { server })
        .parse_next(input)
}

fn undrain(input: &mut &str) -> ModalResult<Action> {
    preceded(word("undrain"), cut_err(preceded(word("server"), name)))
        .map(|server| Action::Undrain { server })
        .parse_next(input)
}

fn set(input: &mut &str) -> ModalResult<Action> {
    word("set").parse_next(input)?;
    let (kind, name, field, value) = cut_err((kind, name, name, value)).parse_next(input)?;
    Ok(Action::Set {
        kind,
        name,
        field,
        value,
    })
}

fn put(input: &mut &str) -> ModalResult<Action> {
    word("put").parse_next(input)?;
    let (kind, name, value) = cut_err((kind, name, object)).parse_next(input)?;
    Ok(Action::Put { kind, name, value })
}

fn remove(input: &mut &str) -> ModalResult<Action> {
    word("remove").parse_next(input)?;
    let (kind, name) = cut_err((kind, name)).parse_next(input)?;
    Ok(Action::Remove { kind, name })
}

fn show(input: &mut &str) -> ModalResult<Show> {
    let subject = subject.parse_next(input)?;
    let filters = opt(preceded(word("where"), cut_err(filters))).parse_next(input)?;
    let by = opt(preceded(word("by"), cut_err(name))).parse_next(input)?;
    Ok(Show {
        subject,
        filters: filters.unwrap_or_default(),
        by,
    })
}

fn subject(input: &mut &str) -> ModalResult<Subject> {
    bare.verify_map(|text: &str| {
        let found = Subject::ALL.into_iter().find(|(word, _)| *word == text);
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
        repeat(0.., preceded(word("and"), cut_err(filter))).parse_next(input)?;
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
    let sign = alt((
        "!=".value(Relation::NotEqual),
        "=".value(Relation::Equal),
        "<".value(Relation::Less),
        ">".value(Relation::Greater),
        "contains".value(Relation::Contains),
    ));
    terminated(sign, multispace0)
        .context(describe("one of =, !=, <, >, contains"))
        .parse_next(input)
}

fn kind(input: &mut &str) -> ModalResult<Kind> {
    bare.verify_map(|text: &str| text.parse().ok())
        .context(describe("one of organisation, data-centre, pool, route"))
        .parse_next(input)
}

/// A word of the language.
fn word<'a>(expected: &'static str) -> impl FnMut(&mut &'a str) -> ModalResult<()> {
    move |input: &mut &'a str| {
        bare.verify(|text: &str| text == expected)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(
                expected,
            )))
            .parse_next(input)
    }
}

/// A name, in quotes or not.
fn name(input: &mut &str) -> ModalResult<Name> {
    alt((quoted, bare))
        .map(Name::from)
        .context(describe("a name"))
        .parse_next(input)
}

/// Characters up to a space or a sign of relation.
fn bare<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let ends = |c: char| c.is_whitespace() || matches!(c, '=' | '!' | '<' | '>' | '"');
    terminated(take_while(1.., move |c| !ends(c)), multispace0).parse_next(input)
}

fn quoted<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    terminated(delimited('"', take_till(0.., '"'), '"'), multispace0).parse_next(input)
}

/// A value of a field: a number, a word, or JSON. A word that is not JSON stands for a string.
fn value(input: &mut &str) -> ModalResult<String> {
    if input.starts_with(['{', '[']) {
        return object.parse_next(input);
    }
    let is_quoted = input.starts_with('"');
    let text = alt((quoted, bare))
        .context(describe("a value"))
        .parse_next(input)?;
    let is_json = serde_json::from_str::<serde_json::Value>(text).is_ok();
    if is_json && !is_quoted {
        Ok(text.to_string())
    } else {
        Ok(serde_json::Value::from(text).to_string())
    }
}

/// A JSON object or array, up to its end.
fn object(input: &mut &str) -> ModalResult<String> {
    let start: &str = input;
    let mut values = serde_json::Deserializer::from_str(start).into_iter::<serde_json::Value>();
    let Some(Ok(found)) = values.next() else {
        let failed: ModalResult<()> = Err(ErrMode::Backtrack(ContextError::new()));
        let fail = |_: &mut &str| failed.clone();
        return fail
            .context(describe("a JSON value"))
            .map(|()| String::new())
            .parse_next(input);
    };
    let length = values.byte_offset();
    *input = &start[length..];
    multispace0.parse_next(input)?;
    Ok(found.to_string())
}

/// Splits a file of commands into its lines, without comments and empty lines. Each comes with its
/// number, from one.
pub fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line.trim()))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

/// Takes what is left of a line after a first word, for commands that the client handles itself.
pub fn after<'a>(line: &'a str, first: &'static str) -> Option<&'a str> {
    let mut input = line.trim();
    let parsed: ModalResult<&str> = preceded(word(first), rest).parse_next(&mut input);
    parsed.ok()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn report(line: &str) -> String {
        match parse(line) {
            Ok(command) => format!("{command:?}"),
            Err(error) => error.to_string(),
        }
    }

    #[test]
    fn commands_are_understood() {
        insta::assert_snapshot!(
            report("show servers where pool = letters and running > 3 by data-centre"),
            @r#"Show(Show { subject: Servers, filters: [Filter { field: "pool", relation: Equal, value: "letters" }, Filter { field: "running", relation: Greater, value: "3" }], by: Some("data-centre") })"#
        );
        insta::assert_snapshot!(
            report("take out data-centre east even if last if version 7"),
            @r#"Change(Change { action: TakeOut { name: "east", even_if_last: true }, guard: Some(7) })"#
        );
        insta::assert_snapshot!(
            report(r#"set pool letters model "m 2""#),
            @r#"Change(Change { action: Set { kind: Pool, name: "letters", field: "model", value: "\"m 2\"" }, guard: None })"#
        );
        insta::assert_snapshot!(
            report(r#"put route r {"pool": "p"} if version 1"#),
            @r#"Change(Change { action: Put { kind: Route, name: "r", value: "{\"pool\":\"p\"}" }, guard: Some(1) })"#
        );
    }

    #[test]
    fn errors_name_the_column_and_what_was_expected() {
        insta::assert_snapshot!(report("shwo servers"), @"column 1: expected one of show, take, bring, drain, undrain, set, put, remove, history, report");
        insta::assert_snapshot!(report("show server"), @"column 6: expected one of instances, servers, routes, requests, data-centres, pools, organisations, config");
        insta::assert_snapshot!(report("take out data-centre"), @"column 21: expected a name");
        insta::assert_snapshot!(report("history now"), @"column 9: expected the end of the line");
    }

    proptest! {
        #[test]
        fn no_line_panics(line in ".{0,200}") {
            let _ = parse(&line);
        }

        #[test]
        fn lines_of_known_words_do_not_panic(words in proptest::collection::vec(
            prop_oneof![
                Just("show"), Just("where"), Just("="), Just("{"), Just("\""), Just("set"),
                Just("if"), Just("version"), Just("9"), Just("pool"), Just("put"), Just("[1,"),
            ], 0..10)) {
            let _ = parse(&words.join(" "));
        }
    }
}
