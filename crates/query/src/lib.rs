//! The operators' command language.
//!
//! # Overview
//!
//! Each line is one [`Command`]. [`parse::parse`] parses it, or returns the column of the syntax
//! error and what was expected there. Queries become a [`Show`], which is evaluated over the rows
//! of a [`table::Table`]. Commands that change the configuration become configuration operations.
//!
//! ```text
//! show instances|servers|routes|requests|data-centres|pools|organisations|config
//!      [where FIELD =|!=|<|>|contains VALUE [and ...]] [by FIELD]
//! take out data-centre NAME [even if last]
//! bring back data-centre NAME
//! drain server NAME            undrain server NAME
//! set KIND NAME FIELD VALUE    remove KIND NAME
//! put KIND NAME JSON
//! history                      report burn
//! ```
//!
//! A command that changes the configuration may end with `if version N`. It is refused unless `N`
//! is the version in force when the command is accepted. Names and values may be quoted.
//!
//! ```
//! use query::Command;
//!
//! let command = query::parse::parse("take out data-centre east").unwrap();
//! assert!(matches!(command, Command::Change(_)));
//! let error = query::parse::parse("take out east").unwrap_err();
//! assert_eq!(error.column(), 10);
//! ```
//!
//! # Modules
//!
//! - [`parse`]: the grammar.
//! - [`table`]: tables, and the filters and groups of queries.

use std::error;
use std::fmt;

use conf::Kind;
use conf::Name;
use conf::Version;

pub mod parse;
pub mod table;

/// One command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Queries the state of the system.
    Show(Show),
    /// Changes the configuration.
    Change(Change),
    /// Lists the newest changes of the configuration.
    History,
    /// Reports the burn rates of the service-level objectives.
    ReportBurnRates,
}

/// A query of the state of the system.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// The kind of objects that the query returns.
    pub subject: Subject,
    /// Conditions, all of which a row must satisfy.
    pub filters: Vec<table::Filter>,
    /// Field by which rows are grouped and counted, or `None` if the rows themselves are returned.
    pub by: Option<Name>,
}

/// A kind of objects that can be queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Instances of wigeonjunction.
    Instances,
    /// Backend servers.
    Servers,
    /// Routes.
    Routes,
    /// Requests in progress.
    Requests,
    /// Data centres.
    DataCentres,
    /// Pools.
    Pools,
    /// Organisations.
    Organisations,
    /// The configuration as JSON.
    Config,
}

impl Subject {
    /// All subjects with their keywords.
    pub const ALL: [(&'static str, Subject); 8] = [
        ("instances", Subject::Instances),
        ("servers", Subject::Servers),
        ("routes", Subject::Routes),
        ("requests", Subject::Requests),
        ("data-centres", Subject::DataCentres),
        ("pools", Subject::Pools),
        ("organisations", Subject::Organisations),
        ("config", Subject::Config),
    ];

    /// Returns whether the rows are spread over all instances, each of which has to be queried.
    pub fn needs_all_instances(self) -> bool {
        matches!(self, Subject::Servers | Subject::Requests)
    }
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The change to be made.
    pub action: Action,
    /// The version that must be in force for the change to be accepted, or `None` for any version.
    pub expected_version: Option<Version>,
}

/// The kinds of configuration changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Takes a data centre out of service.
    TakeOut {
        /// The data centre.
        name: Name,
        /// Whether the command is accepted even if this is the last data centre in service.
        even_if_last: bool,
    },
    /// Brings a data centre back into service.
    BringBack {
        /// The data centre.
        name: Name,
    },
    /// Stops sending new work to a backend server.
    Drain {
        /// The backend server.
        server: Name,
    },
    /// Resumes sending new work to a backend server.
    Undrain {
        /// The backend server.
        server: Name,
    },
    /// Sets one field of a configuration object.
    Set {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
        /// Name of the field.
        field: Name,
        /// New value of the field, as JSON.
        value: String,
    },
    /// Creates or replaces a configuration object.
    Put {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
        /// The object, as JSON.
        value: String,
    },
    /// Removes a configuration object.
    Remove {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
    },
}

impl Action {
    /// Returns the corresponding configuration operation. `at_ms` is the current wall time in
    /// milliseconds since the Unix epoch.
    pub fn to_op(&self, at_ms: u64) -> conf::change::Op {
        use conf::change::Op;
        match self.clone() {
            Action::TakeOut { name, even_if_last } => Op::TakeOut { name, even_if_last },
            Action::BringBack { name } => Op::BringBack { name, at_ms },
            Action::Drain { server } => Op::Drain { server },
            Action::Undrain { server } => Op::Undrain { server },
            Action::Put { kind, name, value } => Op::Put { kind, name, value },
            Action::Remove { kind, name } => Op::Remove { kind, name },
            Action::Set {
                kind,
                name,
                field,
                value,
            } => Op::Set {
                kind,
                name,
                field,
                value,
            },
        }
    }
}

/// A syntax error in a command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    column: usize,
    expected: Vec<String>,
}

impl Error {
    /// Returns the column of the error in characters, counted from one.
    pub fn column(&self) -> usize {
        self.column
    }

    /// Returns descriptions of the input that was expected at that column.
    pub fn expected(&self) -> &[String] {
        &self.expected
    }

    pub(crate) fn new(column: usize, expected: Vec<String>) -> Error {
        Error { column, expected }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expected = self.expected.join(", ");
        write!(f, "column {}: expected {expected}", self.column)
    }
}

impl error::Error for Error {}
