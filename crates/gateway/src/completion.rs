//! Parses callers' completion requests and formats the responses.

use std::fmt::Write;

use compact_str::CompactString;
use serde_json::Value;
use serde_json::json;

/// Size of the parts of a prompt that are hashed for prefix affinity, in bytes.
const PREFIX_PART_BYTES: usize = 256;

/// A parsed request for a completion or a chat completion.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) route: CompactString,
    pub(crate) prompt: String,
    /// Greatest number of tokens, or `None` for no limit.
    pub(crate) limit: Option<u32>,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
}

/// Parses the body of a completion request. An error holds the name of the wrong field and a
/// message.
pub(crate) fn parse_completion(
    body: &[u8],
    chat: bool,
) -> Result<CompletionRequest, (&'static str, String)> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| ("body", format!("not JSON: {error}")))?;
    let model = value.get("model").and_then(Value::as_str);
    let route = model.ok_or(("model", "must be a string".to_string()))?;
    let prompt = if chat {
        chat_prompt(&value)?
    } else {
        let prompt = value.get("prompt").and_then(Value::as_str);
        prompt
            .ok_or(("prompt", "must be a string".to_string()))?
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
    Ok(CompletionRequest {
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
            let text = format!("item {index} must have a role and a content, both strings");
            return Err(("messages", text));
        };
        prompt.push_str(&format!("{role}: {content}\n"));
    }
    Ok(prompt)
}

/// Returns the hashes of a prompt's prefixes, shortest first. A remainder shorter than a part is
/// not hashed.
pub(crate) fn prefixes(text: &str) -> Vec<u64> {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    text.as_bytes()
        .chunks_exact(PREFIX_PART_BYTES)
        .take(wire::admission::PREFIXES_MAX)
        .map(|part| {
            hash.update(part);
            hash.digest()
        })
        .collect()
}

/// The format of a response to a caller.
pub(crate) struct ResponseFormat {
    /// Id by which callers can fetch the answer again.
    pub(crate) answer_id: String,
    /// Name of the route, which callers see as the model.
    pub(crate) model: CompactString,
    /// Whether the response has the form of a chat completion.
    pub(crate) chat: bool,
}

impl ResponseFormat {
    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.chat, is_chunk) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// Returns the events of consecutive tokens, the first of which has index `first`. The JSON
    /// around the token's text is the same in all events and is formatted once.
    pub(crate) fn token_events(&self, first: usize, tokens: &[CompactString]) -> String {
        let (head, tail) = self.event_frame(&Value::Null);
        let mut out = String::with_capacity(tokens.len() * (head.len() + tail.len() + 48));
        for (offset, token) in tokens.iter().enumerate() {
            let text = Value::from(token.as_str());
            let _ = write!(out, "id: {}\ndata: {head}{text}{tail}\n\n", first + offset);
        }
        out
    }

    /// Returns the last event of a whole answer.
    pub(crate) fn end_event(&self, index: usize) -> String {
        let (head, tail) = self.event_frame(&json!("stop"));
        format!("id: {index}\ndata: {head}\"\"{tail}\n\n")
    }

    /// Returns the JSON before and after the token's text in an event's data.
    fn event_frame(&self, finish: &Value) -> (String, String) {
        let (id, model) = (json!(self.answer_id), json!(self.model));
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

    /// Returns the body of a response that is not streamed.
    pub(crate) fn whole_body(&self, tokens: &[CompactString]) -> String {
        let text = tokens.concat();
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "stop"})
        };
        let body = json!({
            "id": self.answer_id,
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
    fn events_are_valid_json_for_tokens_with_special_characters() {
        for chat in [false, true] {
            let format = ResponseFormat {
                answer_id: "n".into(),
                model: "m\"odel".into(),
                chat,
            };
            let text = format.token_events(7, &["a\"b\n".into()]) + &format.end_event(8);
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
    fn errors_name_the_invalid_field() {
        let invalid_field =
            |body: &str, chat| parse_completion(body.as_bytes(), chat).unwrap_err().0;
        assert_eq!(invalid_field("{", false), "body");
        assert_eq!(invalid_field(r#"{"prompt": "a"}"#, false), "model");
        assert_eq!(
            invalid_field(r#"{"model": "m", "prompt": 3}"#, false),
            "prompt"
        );
        assert_eq!(
            invalid_field(r#"{"model": "m", "messages": [{}]}"#, true),
            "messages"
        );
        let body = r#"{"model": "m", "prompt": "p", "max_tokens": 0}"#;
        assert_eq!(invalid_field(body, false), "max_tokens");
        let body = r#"{"model": "m", "prompt": "p", "stream": "yes"}"#;
        assert_eq!(invalid_field(body, false), "stream");
    }

    proptest! {
        #[test]
        fn parsing_any_body_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..300), chat in any::<bool>()) {
            let _ = parse_completion(&body, chat);
        }

        #[test]
        fn prompts_with_a_common_start_share_prefix_hashes(start in "[a-z]{512}", one in "[a-z]{0,300}", other in "[a-z]{0,300}") {
            let first = prefixes(&format!("{start}{one}"));
            let second = prefixes(&format!("{start}{other}"));
            prop_assert_eq!(&first[..2], &second[..2]);
        }
    }
}
