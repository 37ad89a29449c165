//! Operations on the configuration, and the function that applies them.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Config;
use crate::Finding;
use crate::Name;
use crate::Version;
use crate::check;
use crate::schema::Kind;

/// Identifies a change. A command that is sent twice carries the same id and is applied once.
pub type ChangeId = u64;

/// An accepted change: the operations that lead from one version to the next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Id that the sender of the command has chosen.
    pub id: ChangeId,
    /// The version that the change produced.
    pub version: Version,
    /// The operator who sent the command.
    pub who: Name,
    /// Wall time of acceptance, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The operations, in the order in which they are applied.
    pub ops: Vec<Op>,
}

/// An operation of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Creates or replaces an object.
    Put {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
        /// Value of the object, as JSON text.
        value: String,
    },
    /// Sets one field of an existing object.
    Set {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
        /// Path of the field. A dot leads into a nested JSON object.
        field: Name,
        /// Value of the field, as JSON text.
        value: String,
    },
    /// Removes an object.
    Remove {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
    },
    /// Takes a data centre out of service.
    TakeOut {
        /// Name of the data centre.
        name: Name,
        /// Allows the operation even if no other data centre is in service.
        even_if_last: bool,
    },
    /// Brings a data centre back into service.
    BringBack {
        /// Name of the data centre.
        name: Name,
        /// Wall time of the return to service, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Stops new requests to a backend server.
    Drain {
        /// Name of the backend server.
        server: Name,
    },
    /// Allows new requests to a drained backend server.
    Undrain {
        /// Name of the backend server.
        server: Name,
    },
}

/// Applies a list of operations and returns the resulting configuration, at the next version.
///
/// # Errors
///
/// Returns all findings of the operations and of the resulting configuration. No operation is
/// applied in that case.
pub fn apply(config: &Config, ops: &[Op]) -> Result<Config, Vec<Finding>> {
    let mut next = config.clone();
    let mut findings = Vec::new();
    for (index, op) in ops.iter().enumerate() {
        if let Err(found) = apply_op(&mut next, op) {
            let path = |finding: &Finding| format!("operation {}: {}", index + 1, finding.path);
            findings.extend(
                found
                    .iter()
                    .map(|f| Finding::new(path(f), f.message.as_str())),
            );
        }
    }
    findings.extend(check::check(&next));
    if !findings.is_empty() {
        return Err(findings);
    }
    next.version = config.version + 1;
    Ok(next)
}

fn apply_op(config: &mut Config, op: &Op) -> Result<(), Vec<Finding>> {
    match op {
        Op::Put { kind, name, value } => {
            let value = parse_value(*kind, name, value)?;
            put(config, *kind, name, value)
        }
        Op::Set {
            kind,
            name,
            field,
            value,
        } => set(config, *kind, name, field, value),
        Op::Remove { kind, name } => remove(config, *kind, name),
        Op::TakeOut { name, even_if_last } => take_out(config, name, *even_if_last),
        Op::BringBack { name, at_ms } => bring_back(config, name, *at_ms),
        Op::Drain { server } => {
            config.drained.insert(server.clone());
            Ok(())
        }
        Op::Undrain { server } => {
            config.drained.remove(server);
            Ok(())
        }
    }
}

fn parse_value(kind: Kind, name: &Name, json: &str) -> Result<Value, Vec<Finding>> {
    serde_json::from_str(json).map_err(|error| {
        let path = format!("{}.{name}", kind.section());
        vec![Finding::new(path, format!("is not valid JSON: {error}"))]
    })
}

fn put(config: &mut Config, kind: Kind, name: &Name, value: Value) -> Result<(), Vec<Finding>> {
    let path = format!("{}.{name}", kind.section());
    let invalid = |error: serde_json::Error| vec![Finding::new(&path, error.to_string())];
    match kind {
        Kind::Organisation => {
            let value = serde_json::from_value(value).map_err(invalid)?;
            config.organisations.insert(name.clone(), value);
        }
        Kind::DataCentre => {
            let value = serde_json::from_value(value).map_err(invalid)?;
            config.data_centres.insert(name.clone(), value);
        }
        Kind::Pool => {
            let value = serde_json::from_value(value).map_err(invalid)?;
            config.pools.insert(name.clone(), value);
        }
        Kind::Route => {
            let value = serde_json::from_value(value).map_err(invalid)?;
            config.routes.insert(name.clone(), value);
        }
    }
    Ok(())
}

/// Returns an object of the configuration as JSON, or `None` if no object has this name.
pub fn get(config: &Config, kind: Kind, name: &str) -> Option<Value> {
    let value = match kind {
        Kind::Organisation => serde_json::to_value(config.organisations.get(name)?),
        Kind::DataCentre => serde_json::to_value(config.data_centres.get(name)?),
        Kind::Pool => serde_json::to_value(config.pools.get(name)?),
        Kind::Route => serde_json::to_value(config.routes.get(name)?),
    };
    value.ok()
}

fn set(
    config: &mut Config,
    kind: Kind,
    name: &Name,
    field: &Name,
    json: &str,
) -> Result<(), Vec<Finding>> {
    let mut value = get(config, kind, name).ok_or_else(|| vec![not_found(kind, name)])?;
    let path = format!("{}.{name}.{field}", kind.section());
    let new: Value = serde_json::from_str(json)
        .map_err(|error| vec![Finding::new(&path, format!("is not valid JSON: {error}"))])?;
    let mut target = &mut value;
    for part in field.split('.') {
        let object = target.as_object_mut().ok_or_else(|| {
            vec![Finding::new(
                &path,
                "leads into a value that is not an object",
            )]
        })?;
        target = object.entry(part).or_insert(Value::Null);
    }
    *target = new;
    put(config, kind, name, value)
}

fn remove(config: &mut Config, kind: Kind, name: &Name) -> Result<(), Vec<Finding>> {
    let found = match kind {
        Kind::Organisation => config.organisations.remove(name).is_some(),
        Kind::DataCentre => config.data_centres.remove(name).is_some(),
        Kind::Pool => config.pools.remove(name).is_some(),
        Kind::Route => config.routes.remove(name).is_some(),
    };
    if found {
        Ok(())
    } else {
        Err(vec![not_found(kind, name)])
    }
}

fn not_found(kind: Kind, name: &Name) -> Finding {
    let path = format!("{}.{name}", kind.section());
    Finding::new(path, format!("there is no {kind} with this name"))
}

fn take_out(config: &mut Config, name: &Name, even_if_last: bool) -> Result<(), Vec<Finding>> {
    let others = config
        .data_centres
        .iter()
        .filter(|(other, value)| *other != name && !value.out)
        .count();
    let Some(found) = config.data_centres.get_mut(name) else {
        return Err(vec![not_found(Kind::DataCentre, name)]);
    };
    if others == 0 && !found.out && !even_if_last {
        let path = format!("data_centres.{name}");
        let message = "is the last one in service; add 'even if last' to take it out";
        return Err(vec![Finding::new(path, message)]);
    }
    found.out = true;
    Ok(())
}

fn bring_back(config: &mut Config, name: &Name, at_ms: u64) -> Result<(), Vec<Finding>> {
    let Some(found) = config.data_centres.get_mut(name) else {
        return Err(vec![not_found(Kind::DataCentre, name)]);
    };
    // A data centre that is already in service keeps the time of its first return. Otherwise each
    // repetition of the command would restart its ramp-up.
    if found.out {
        found.out = false;
        found.back_at_ms = at_ms;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn two_data_centres() -> Config {
        let put = |name: &str| Op::Put {
            kind: Kind::DataCentre,
            name: name.into(),
            value: "{}".into(),
        };
        apply(&Config::default(), &[put("a"), put("b")]).unwrap()
    }

    fn take_out_op(name: &str, even_if_last: bool) -> Op {
        Op::TakeOut {
            name: name.into(),
            even_if_last,
        }
    }

    #[test]
    fn last_data_centre_is_taken_out_only_with_even_if_last() {
        let config = apply(&two_data_centres(), &[take_out_op("a", false)]).unwrap();
        let findings = apply(&config, &[take_out_op("b", false)]).unwrap_err();
        assert!(findings[0].message.contains("last one in service"));
        assert!(apply(&config, &[take_out_op("b", true)]).is_ok());
    }

    #[test]
    fn set_writes_nested_fields_and_rejects_unknown_ones() {
        let ops = [
            Op::Put {
                kind: Kind::Pool,
                name: "p".into(),
                value: "{}".into(),
            },
            Op::Put {
                kind: Kind::Route,
                name: "r".into(),
                value: r#"{"pool":"p"}"#.into(),
            },
        ];
        let config = apply(&two_data_centres(), &ops).unwrap();
        let set = |field: &str| Op::Set {
            kind: Kind::Route,
            name: "r".into(),
            field: field.into(),
            value: "20".into(),
        };
        let next = apply(&config, &[set("objective.token_gap_ms")]).unwrap();
        assert_eq!(next.routes["r"].objective.token_gap_ms, 20);
        assert!(apply(&config, &[set("objective.nothing")]).is_err());
        assert!(apply(&config, &[set("pool.name")]).is_err());
    }

    proptest! {
        #[test]
        fn set_with_arbitrary_text_never_panics(
            value in ".{0,64}",
            field in ".{0,16}",
            name in ".{0,8}",
        ) {
            let op = Op::Set {
                kind: Kind::Pool,
                name: name.as_str().into(),
                field: field.into(),
                value,
            };
            let _ = apply(&two_data_centres(), &[op]);
        }
    }
}
