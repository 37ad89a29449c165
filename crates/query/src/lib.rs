//! The operators' language.
//!
//! # Overview
//!
//! One line is one [`Command`]. [`parse::parse`] reads it, or says at which column it stopped and
//! what it expected there. Commands that only look become a [`Show`] that is evaluated over rows
//! ([`table::Table`]); commands that change something become configuration operations.
//!
//! ```text
//! show instances|servers|routes|requests|data-centres|pools|organisations|config
//!      [where FIELD =|!=|<|> VALUE [and ...]] [by FIELD]
//! take out data-centre NAME [even if last]
//! bring back data-centre NAME
//! drain server NAME            undrain server NAME
//! set KIND NAME FIELD VALUE    remove KIND NAME
//! put KIND NAME JSON
//! history                      report burn
//! ```
//!
//! Any changing command may end in `if version N`, which refuses it unless that is the version in
//! force when it is accepted. Words may be quoted.
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
//! - [`table`]: filters, groups and tables.

use std::error;
use std::fmt;

use conf::Kind;
use conf::Name;
use conf::Version;

pub mod parse;
pub mod table;

/// One line of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Looks at something.
    Show(Show),
    /// Changes the configuration.
    Change(Change),
    /// Lists the newest changes.
    History,
    /// Reports how fast the service-level objectives burn.
    Burn,
}

/// Looks at something.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// What is looked at.
    pub subject: Subject,
    /// Filters, all of which must hold.
    pub filters: Vec<table::Filter>,
    /// Field that rows are counted by.
    pub by: Option<Name>,
}

/// What can be looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Instances of the system.
    Instances,
    /// Backend servers.
    Servers,
    /// Routes.
    Routes,
    /// Requests under way.
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
    /// All subjects with their words.
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

    /// Returns whether every instance has to be asked.
    pub fn is_spread(self) -> bool {
        matches!(self, Subject::Servers | Subject::Requests)
    }
}

/// Changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What is to be done.
    pub action: Action,
    /// The version that must be in force, if one is named.
    pub guard: Option<Version>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Takes a data centre out of service.
    TakeOut {
        /// The data centre.
        name: Name,
        /// Whether it may be the last one in service.
        even_if_last: bool,
    },
    /// Brings a data centre back into service.
    BringBack {
        /// The data centre.
        name: Name,
    },
    /// Stops new work for a backend server.
    Drain {
        /// The backend server.
        server: Name,
    },
    /// Allows new work for a backend server.
    Undrain {
        /// The backend server.
        server: Name,
    },
    /// Writes one field.
    Set {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
        /// The field.
        field: Name,
        /// The value, as JSON.
        value: String,
    },
    /// Writes a thing whole.
    Put {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
        /// The value, as JSON.
        value: String,
    },
    /// Removes a thing.
    Remove {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
    },
}

impl Action {
    /// Returns the configuration operation, with the wall time in milliseconds since the Unix epoch.
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

/// Why a line is no command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    column: usize,
    expected: Vec<String>,
}

impl Error {
    /// Returns the column of the first thing that was not expected, from one.
    pub fn column(&self) -> usize {
        self.column
    }

    /// Returns what was expected there.
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
