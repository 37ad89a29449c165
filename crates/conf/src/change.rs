//! Operations on the configuration and how they are applied.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Config;
use crate::Finding;
use crate::Name;
use crate::Version;
use crate::check;
use crate::schema::Kind;

/// Identifies a change, so that a command sent twice is applied once.
pub type ChangeId = u64;

/// One accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Chosen by whoever sent the command.
    pub id: ChangeId,
    /// The version that the change led to.
    pub version: Version,
    /// Who sent the command.
    pub who: Name,
    /// Wall time of acceptance, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was done, in order.
    pub ops: Vec<Op>,
}

/// One step of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Writes one named thing whole.
    Put {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
        /// Its value, as a JSON object.
        value: String,
    },
    /// Writes one field of a thing that exists. A dot in the field's name leads into an object.
    Set {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
        /// The field.
        field: Name,
        /// The field's value, as JSON.
        value: String,
    },
    /// Removes one named thing.
    Remove {
        /// Kind of the thing.
        kind: Kind,
        /// Its name.
        name: Name,
    },
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
        /// Wall time of the return, in milliseconds since the Unix epoch.
        at_ms: u64,
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
}

/// Returns the configuration after a list of operations, at the next version.
///
/// # Errors
///
/// Every finding of the operations and of the configuration that they would lead to. Nothing is
/// applied then.
pub fn apply(config: &Config, ops: &[Op]) -> Result<Config, Vec<Finding>> {
    let mut next = config.clone();
    let mut findings = Vec::new();
    for (index, op) in ops.iter().enumerate() {
        if let Err(found) = apply_one(&mut next, op) {
            let place = |finding: &Finding| format!("operation {}: {}", index + 1, finding.place);
            findings.extend(
                found
                    .iter()
                    .map(|f| Finding::new(place(f), f.text.as_str())),
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

fn apply_one(config: &mut Config, op: &Op) -> Result<(), Vec<Finding>> {
    match op {
        Op::Put { kind, name, value } => {
            let value = parse(*kind, name, value)?;
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

fn parse(kind: Kind, name: &Name, text: &str) -> Result<Value, Vec<Finding>> {
    serde_json::from_str(text).map_err(|error| {
        let place = format!("{}.{name}", kind.section());
        vec![Finding::new(place, format!("is not JSON: {error}"))]
    })
}

fn put(config: &mut Config, kind: Kind, name: &Name, value: Value) -> Result<(), Vec<Finding>> {
    let place = format!("{}.{name}", kind.section());
    let wrong = |error: serde_json::Error| vec![Finding::new(&place, error.to_string())];
    match kind {
        Kind::Organisation => {
            let value = serde_json::from_value(value).map_err(wrong)?;
            config.organisations.insert(name.clone(), value);
        }
        Kind::DataCentre => {
            let value = serde_json::from_value(value).map_err(wrong)?;
            config.data_centres.insert(name.clone(), value);
        }
        Kind::Pool => {
            let value = serde_json::from_value(value).map_err(wrong)?;
            config.pools.insert(name.clone(), value);
        }
        Kind::Route => {
            let value = serde_json::from_value(value).map_err(wrong)?;
            config.routes.insert(name.clone(), value);
        }
    }
    Ok(())
}

/// Returns a named thing as JSON.
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
    text: &str,
) -> Result<(), Vec<Finding>> {
    let mut value = get(config, kind, name).ok_or_else(|| vec![missing(kind, name)])?;
    let place = format!("{}.{name}.{field}", kind.section());
    let new: Value = serde_json::from_str(text)
        .map_err(|error| vec![Finding::new(&place, format!("is not JSON: {error}"))])?;
    let mut slot = &mut value;
    for part in field.split('.') {
        let object = slot.as_object_mut().ok_or_else(|| {
            vec![Finding::new(
                &place,
                "leads into a value that has no fields",
            )]
        })?;
        slot = object.entry(part).or_insert(Value::Null);
    }
    *slot = new;
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
        Err(vec![missing(kind, name)])
    }
}

fn missing(kind: Kind, name: &Name) -> Finding {
    let place = format!("{}.{name}", kind.section());
    Finding::new(place, format!("there is no {kind} of this name"))
}

fn take_out(config: &mut Config, name: &Name, even_if_last: bool) -> Result<(), Vec<Finding>> {
    let others = config
        .data_centres
        .iter()
        .filter(|(other, value)| *other != name && !value.out)
        .count();
    let Some(found) = config.data_centres.get_mut(name) else {
        return Err(vec![missing(Kind::DataCentre, name)]);
    };
    if others == 0 && !found.out && !even_if_last {
        let place = format!("data_centres.{name}");
        let text = "is the last one in service; add 'even if last' to take it out";
        return Err(vec![Finding::new(place, text)]);
    }
    found.out = true;
    Ok(())
}

fn bring_back(config: &mut Config, name: &Name, at_ms: u64) -> Result<(), Vec<Finding>> {
    let Some(found) = config.data_centres.get_mut(name) else {
        return Err(vec![missing(Kind::DataCentre, name)]);
    };
    // A data centre already in service keeps the time of its first return, or it would start its
    // ramp again each time that the command is repeated.
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

    fn two_centres() -> Config {
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
    fn last_data_centre_is_kept_unless_told_otherwise() {
        let config = apply(&two_centres(), &[take_out_op("a", false)]).unwrap();
        let findings = apply(&config, &[take_out_op("b", false)]).unwrap_err();
        assert!(findings[0].text.contains("last one in service"));
        assert!(apply(&config, &[take_out_op("b", true)]).is_ok());
    }

    #[test]
    fn set_reaches_into_objects_and_rejects_unknown_fields() {
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
        let config = apply(&two_centres(), &ops).unwrap();
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
        fn no_text_panics(value in ".{0,64}", field in ".{0,16}", name in ".{0,8}") {
            let op = Op::Set { kind: Kind::Pool, name: name.as_str().into(), field: field.into(), value };
            let _ = apply(&two_centres(), &[op]);
        }
    }
}
