//! Completions as callers write and read them.

use std::fmt::Write;

use compact_str::CompactString;
use serde_json::Value;
use serde_json::json;

/// Characters of one part of a prompt that is hashed for prefix affinity.
const PREFIX_CHARS: usize = 256;

/// What a caller asks of an engine.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) route: CompactString,
    pub(crate) prompt: String,
    pub(crate) limit: Option<u32>,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
}

/// Reads the body of a completion. An error names the field.
pub(crate) fn parse_completion(body: &[u8], chat: bool) -> Result<Asked, (&'static str, String)> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| ("body", format!("not JSON: {error}")))?;
    let model = value.get("model").and_then(Value::as_str);
    let route = model.ok_or(("model", "must be a text".to_string()))?;
    let prompt = if chat {
        chat_prompt(&value)?
    } else {
        let prompt = value.get("prompt").and_then(Value::as_str);
        prompt
            .ok_or(("prompt", "must be a text".to_string()))?
            .to_string()
    };
    let limit = match value.get("max_tokens") {
        None | Some(Value::Null) => None,
        Some(limit) => Some(
            limit
                .as_u64()
                .and_then(|limit| u32::try_from(limit).ok())
                .filter(|limit| *limit > 0)
                .ok_or(("max_tokens", "must be a whole number above 0".to_string()))?,
        ),
    };
    let stream = match value.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(("stream", "must be true or false".into())),
    };
    Ok(Asked {
        route: route.into(),
        prompt,
        limit,
        stream,
        chat,
    })
}

fn chat_prompt(value: &Value) -> Result<String, (&'static str, String)> {
    let messages = value.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or(("messages", "must be a list".to_string()))?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content").and_then(Value::as_str);
        let (Some(role), Some(content)) = (role, content) else {
            let text = format!("item {index} must have a role and a content, both texts");
            return Err(("messages", text));
        };
        prompt.push_str(&format!("{role}: {content}\n"));
    }
    Ok(prompt)
}

/// Returns the hashes of a prompt's prefixes, shortest first.
pub(crate) fn prefixes(text: &str) -> Vec<u64> {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    text.as_bytes()
        .chunks_exact(PREFIX_CHARS)
        .take(wire::admission::PREFIXES_MAX)
        .map(|part| {
            hash.update(part);
            hash.digest()
        })
        .collect()
}

/// How an answer is written.
pub(crate) struct Style {
    pub(crate) name: String,
    pub(crate) model: CompactString,
    pub(crate) chat: bool,
}

impl Style {
    fn object(&self, part: bool) -> &'static str {
        match (self.chat, part) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// Returns the events of tokens that follow each other, or of the end. What is the same in all of
    /// them is written once.
    pub(crate) fn events(&self, first: usize, tokens: &[CompactString]) -> String {
        let (head, tail) = self.frame(&Value::Null);
        let mut out = String::with_capacity(tokens.len() * (head.len() + tail.len() + 48));
        for (offset, token) in tokens.iter().enumerate() {
            let text = Value::from(token.as_str());
            let _ = write!(out, "id: {}\ndata: {head}{text}{tail}\n\n", first + offset);
        }
        out
    }

    /// Returns the event of the end.
    pub(crate) fn last(&self, index: usize) -> String {
        let (head, tail) = self.frame(&json!("stop"));
        format!("id: {index}\ndata: {head}\"\"{tail}\n\n")
    }

    /// Returns what stands before and after the text in an event's data.
    fn frame(&self, finish: &Value) -> (String, String) {
        let (id, model) = (json!(self.name), json!(self.model));
        let object = self.object(true);
        let head =
            format!(r#"{{"id":{id},"object":"{object}","model":{model},"choices":[{{"index":0,"#);
        if self.chat {
            let head = head + r#""delta":{"content":"#;
            (head, format!(r#"}},"finish_reason":{finish}}}]}}"#))
        } else {
            let head = head + r#""text":"#;
            (head, format!(r#","finish_reason":{finish}}}]}}"#))
        }
    }

    pub(crate) fn whole(&self, tokens: &[CompactString]) -> String {
        let text = tokens.concat();
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "stop"})
        };
        let body = json!({
            "id": self.name,
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens.len()},
        });
        body.to_string()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn events_are_json_whatever_the_tokens_hold() {
        for chat in [false, true] {
            let style = Style {
                name: "n".into(),
                model: "m\"odel".into(),
                chat,
            };
            let text = style.events(7, &["a\"b\n".into()]) + &style.last(8);
            let data: Vec<Value> = text
                .lines()
                .filter_map(|line| line.strip_prefix("data: "))
                .map(|data| serde_json::from_str(data).expect("JSON"))
                .collect();
            let path = if chat {
                "/choices/0/delta/content"
            } else {
                "/choices/0/text"
            };
            assert_eq!(data[0].pointer(path), Some(&json!("a\"b\n")));
            assert_eq!(data[0]["choices"][0]["finish_reason"], Value::Null);
            assert_eq!(data[1]["choices"][0]["finish_reason"], "stop");
            assert!(text.starts_with("id: 7\n") && text.contains("\nid: 8\n"));
        }
    }

    #[test]
    fn errors_name_the_field() {
        let place = |body: &str, chat| parse_completion(body.as_bytes(), chat).unwrap_err().0;
        assert_eq!(place("{", false), "body");
        assert_eq!(place(r#"{"prompt": "a"}"#, false), "model");
        assert_eq!(place(r#"{"model": "m", "prompt": 3}"#, false), "prompt");
        assert_eq!(
            place(r#"{"model": "m", "messages": [{}]}"#, true),
            "messages"
        );
        let body = r#"{"model": "m", "prompt": "p", "max_tokens": 0}"#;
        assert_eq!(place(body, false), "max_tokens");
        let body = r#"{"model": "m", "prompt": "p", "stream": "yes"}"#;
        assert_eq!(place(body, false), "stream");
    }

    proptest! {
        #[test]
        fn no_body_panics(body in proptest::collection::vec(any::<u8>(), 0..300), chat in any::<bool>()) {
            let _ = parse_completion(&body, chat);
        }

        #[test]
        fn prefixes_of_a_shared_start_are_shared(start in "[a-z]{512}", one in "[a-z]{0,300}", other in "[a-z]{0,300}") {
            let first = prefixes(&format!("{start}{one}"));
            let second = prefixes(&format!("{start}{other}"));
            prop_assert_eq!(&first[..2], &second[..2]);
        }
    }
}
