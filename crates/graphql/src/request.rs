//! GraphQL over HTTP: a message becomes one or several operations.
//!
//! What two servers could read in two ways is refused here, since no class of it would be certain: a name given twice in
//! a message or a URL (most servers read the last, some the first), a name that differs from a known one by
//! case alone (some servers don't tell them apart), a URL that carries `query` beside a body (some read the one, some
//! the other), a content type given twice.

use crate::fault::{Code, Fault};
use crate::json::{Pairs, Text, is_shallow};
use crate::persisted::{Digest, parse_digest};
use crate::policy::Policy;
use http::{HeaderMap, Method, header};
use percent_encoding::percent_decode_str;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A message as it came.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// Its method.
    pub method: &'a Method,
    /// What follows the `?` of its target.
    pub query: Option<&'a str>,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Its body, whole.
    pub body: &'a [u8],
}

/// One operation as a message words it.
#[derive(Debug, Default)]
pub(crate) struct Envelope<'a> {
    pub text: Option<Cow<'a, str>>,
    pub operation: Option<Cow<'a, str>>,
    /// An object, as JSON.
    pub variables: Option<Cow<'a, str>>,
    pub hash: Option<Digest>,
    /// Whether there is more than is known here.
    pub odd: bool,
}

/// What a message asks for.
pub(crate) enum Asked<'a> {
    /// By GET.
    Get(Envelope<'a>),
    One(Envelope<'a>),
    /// Elements of an array, each with its bytes.
    Batch(Vec<(&'a str, Result<Envelope<'a>, Fault>)>),
}

/// JSON nested deeper than this is refused.
const JSON_DEPTH: usize = 64;
/// Names of a message, and parameters of a URL.
const MOST_NAMES: usize = 32;
/// What a message may have.
const KNOWN: [&str; 4] = ["query", "operationName", "variables", "extensions"];

pub(crate) fn read<'a>(message: &Message<'a>, policy: &Policy) -> Result<Asked<'a>, Fault> {
    let most = policy.limits.bytes;
    if message.body.len() > most || message.query.is_some_and(|query| query.len() > most) {
        return Err(Fault::new(
            Code::BodyTooLarge,
            format!("the request holds more than {most} bytes"),
        ));
    }
    match *message.method {
        Method::GET => get(message, policy).map(Asked::Get),
        Method::POST => post(message, policy),
        _ => Err(Fault::new(
            Code::MethodNotAllowed,
            "GraphQL is served by POST, and queries by GET",
        )),
    }
}

fn get<'a>(message: &Message<'a>, policy: &Policy) -> Result<Envelope<'a>, Fault> {
    if !message.body.is_empty() {
        return Err(Fault::bad("a GET has no body; ask by POST"));
    }
    let url = message.query.unwrap_or_default();
    let mut envelope = Envelope::default();
    // Some servers take it for &.
    envelope.odd |= url.contains(';');
    let pairs = parameters(url)?;
    let pairs = pairs.iter().map(|(name, value)| (name.as_ref(), value));
    for (name, value) in distinct(pairs, policy, &mut envelope.odd)? {
        match name {
            "query" => envelope.text = Some(value.clone()),
            "operationName" => envelope.operation = Some(value.clone()),
            _ if !is_shallow(value.as_bytes(), JSON_DEPTH) => return Err(json_too_deep()),
            "variables" => {
                envelope.variables =
                    object(value, "variables")?.map(|json| Cow::Owned(json.to_string()))
            }
            _ => extensions(value, &mut envelope)?,
        }
    }
    complete(envelope)
}

/// The name and the value of a parameter.
type Parameter<'a> = (Cow<'a, str>, Cow<'a, str>);

/// The parameters of a URL, decoded. One with bytes that are no UTF-8 is an error: servers replace them differently.
fn parameters(url: &str) -> Result<Vec<Parameter<'_>>, Fault> {
    let mut parameters = Vec::new();
    for parameter in url.split('&').filter(|parameter| !parameter.is_empty()) {
        if parameters.len() >= MOST_NAMES {
            return Err(Fault::bad(format!(
                "the URL has more than {MOST_NAMES} parameters"
            )));
        }
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        parameters.push((decode(name)?, decode(value)?));
    }
    Ok(parameters)
}

fn decode(text: &str) -> Result<Cow<'_, str>, Fault> {
    let no_utf8 = |_| Fault::bad("a parameter of the URL is no UTF-8");
    if !text.contains('+') {
        return percent_decode_str(text).decode_utf8().map_err(no_utf8);
    }
    let spaced = text.replace('+', " ");
    let decoded = percent_decode_str(&spaced).decode_utf8().map_err(no_utf8)?;
    Ok(Cow::Owned(decoded.into_owned()))
}

fn post<'a>(message: &Message<'a>, policy: &Policy) -> Result<Asked<'a>, Fault> {
    is_json(message.headers)?;
    let mut odd = false;
    if let Some(url) = message.query {
        let parameters = parameters(url)?;
        if parameters
            .iter()
            .any(|(name, _)| KNOWN.iter().any(|known| is_alike(name, known)))
        {
            let problem =
                "the URL carries parameters of GraphQL beside the body; servers read either";
            return Err(Fault::new(Code::AmbiguousRequest, problem));
        }
        odd = parameters
            .iter()
            .any(|(name, _)| !policy.ignore.iter().any(|ignored| name == ignored))
            || url.contains(';');
    }
    let text = std::str::from_utf8(message.body).map_err(|fault| {
        Fault::bad(format!(
            "the body is no UTF-8 from byte {} on",
            fault.valid_up_to()
        ))
    })?;
    let text = text
        .strip_prefix('\u{feff}')
        .unwrap_or(text)
        .trim_matches([' ', '\t', '\r', '\n']);
    if !is_shallow(text.as_bytes(), JSON_DEPTH) {
        return Err(json_too_deep());
    }
    if !text.starts_with('[') {
        let mut envelope = element(text, policy)?;
        envelope.odd |= odd;
        return Ok(Asked::One(envelope));
    }
    let most = policy.limits.operations;
    let elements = elements(text, most)?;
    let read = elements.into_iter().map(|element_text| {
        let envelope = element(element_text, policy).map(|mut envelope| {
            envelope.odd |= odd;
            envelope
        });
        (element_text, envelope)
    });
    Ok(Asked::Batch(read.collect()))
}

/// The bytes of an array's elements. No more are read than are allowed.
fn elements(text: &str, most: usize) -> Result<Vec<&str>, Fault> {
    struct Read<'a>(Vec<&'a str>, usize);
    impl<'de> serde::de::DeserializeSeed<'de> for Read<'de> {
        type Value = (Vec<&'de str>, bool);

        fn deserialize<D: serde::Deserializer<'de>>(
            self,
            reader: D,
        ) -> Result<Self::Value, D::Error> {
            reader.deserialize_seq(self)
        }
    }
    impl<'de> serde::de::Visitor<'de> for Read<'de> {
        type Value = (Vec<&'de str>, bool);

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("an array")
        }

        fn visit_seq<A: serde::de::SeqAccess<'de>>(
            mut self,
            mut array: A,
        ) -> Result<Self::Value, A::Error> {
            while self.0.len() < self.1 {
                match array.next_element::<&RawValue>()? {
                    Some(element) => self.0.push(element.get()),
                    None => return Ok((self.0, false)),
                }
            }
            let mut more = false;
            while array.next_element::<serde::de::IgnoredAny>()?.is_some() {
                more = true;
            }
            Ok((self.0, more))
        }
    }
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = serde::de::DeserializeSeed::deserialize(Read(Vec::new(), most), &mut reader);
    let (elements, more) = read
        .and_then(|read| reader.end().map(|()| read))
        .map_err(no_json)?;
    if more {
        let problem = match most {
            0 => "batches are not taken here; send one operation".to_string(),
            most => format!("the batch holds more than {most} operations"),
        };
        return Err(Fault::new(Code::BatchTooLarge, problem));
    }
    if elements.is_empty() {
        return Err(Fault::bad("the batch is empty"));
    }
    Ok(elements)
}

fn element<'a>(json: &'a str, policy: &Policy) -> Result<Envelope<'a>, Fault> {
    let Pairs(pairs) = Pairs::read(json).map_err(no_json)?;
    if pairs.len() > MOST_NAMES {
        return Err(Fault::bad(format!(
            "the message has more than {MOST_NAMES} names"
        )));
    }
    let mut envelope = Envelope::default();
    let pairs = pairs.iter().map(|(name, value)| (name.as_ref(), value));
    for (name, value) in distinct(pairs, policy, &mut envelope.odd)? {
        let json = value.get();
        match name {
            _ if json == "null" => {}
            "query" => envelope.text = Some(string(json, "query")?),
            "operationName" => envelope.operation = Some(string(json, "operationName")?),
            "variables" => envelope.variables = object(json, "variables")?.map(Cow::Borrowed),
            _ => extensions(json, &mut envelope)?,
        }
    }
    complete(envelope)
}

/// The known names, each once. Of others it is only noted that they are there.
fn distinct<'p, V>(
    pairs: impl Iterator<Item = (&'p str, V)>,
    policy: &Policy,
    odd: &mut bool,
) -> Result<Vec<(&'static str, V)>, Fault> {
    let mut known = Vec::with_capacity(KNOWN.len());
    for (name, value) in pairs {
        match KNOWN.into_iter().find(|known| is_alike(name, known)) {
            Some(alike) if alike != name => {
                let problem = format!(
                    "a name is written otherwise than {alike}; some servers tell no difference"
                );
                return Err(Fault::new(Code::AmbiguousRequest, problem));
            }
            Some(alike) if known.iter().any(|(there, _)| *there == alike) => {
                let problem =
                    format!("{alike} is given twice; some servers read the first, some the last");
                return Err(Fault::new(Code::AmbiguousRequest, problem));
            }
            Some(alike) => known.push((alike, value)),
            None => *odd |= !policy.ignore.iter().any(|ignored| ignored == name),
        }
    }
    Ok(known)
}

/// Whether a server that folds case could take a name for a known one. Two letters beyond ASCII fold into it.
fn is_alike(name: &str, known: &str) -> bool {
    let fold = |letter: char| match letter {
        'ſ' => 's',
        '\u{212a}' => 'k',
        letter => letter.to_ascii_lowercase(),
    };
    name.chars().map(fold).eq(known.chars().map(fold))
}

fn string<'a>(json: &'a str, name: &str) -> Result<Cow<'a, str>, Fault> {
    match serde_json::from_str::<Text>(json) {
        Ok(Text(text)) => Ok(text),
        Err(_) => Err(Fault::bad(format!("{name} is no string"))),
    }
}

/// An object, or nothing where it is null.
fn object<'j>(json: &'j str, name: &str) -> Result<Option<&'j str>, Fault> {
    match serde_json::from_str::<&RawValue>(json).map(RawValue::get) {
        Ok("null") => Ok(None),
        Ok(json) if json.starts_with('{') => Ok(Some(json)),
        _ => Err(Fault::bad(format!("{name} is no object"))),
    }
}

/// The hash of a persisted query. Another version than 1 is odd: it may mean anything.
fn extensions(json: &str, envelope: &mut Envelope<'_>) -> Result<(), Fault> {
    let Some(json) = object(json, "extensions")? else {
        return Ok(());
    };
    let Some(persisted) = field(json, "persistedQuery")? else {
        return Ok(());
    };
    if !persisted.starts_with('{') {
        return Err(Fault::bad("extensions.persistedQuery is no object"));
    }
    if field(persisted, "version")? != Some("1") {
        envelope.odd = true;
        return Ok(());
    }
    let Some(hash) = field(persisted, "sha256Hash")? else {
        return Err(Fault::bad(
            "extensions.persistedQuery.sha256Hash is missing",
        ));
    };
    let digest = string(hash, "extensions.persistedQuery.sha256Hash")
        .ok()
        .and_then(|h| parse_digest(&h));
    let wanted = "extensions.persistedQuery.sha256Hash is not 64 hex digits in lower case";
    envelope.hash = Some(digest.ok_or(Fault::bad(wanted))?);
    Ok(())
}

/// One value of an object, nothing where it is null.
fn field<'j>(json: &'j str, wanted: &str) -> Result<Option<&'j str>, Fault> {
    let Pairs(pairs) = Pairs::read(json).map_err(no_json)?;
    let mut alike = pairs.iter().filter(|(name, _)| is_alike(name, wanted));
    match (alike.next(), alike.next()) {
        (None, _) => Ok(None),
        (Some((name, value)), None) if name == wanted => {
            Ok(Some(value.get()).filter(|json| *json != "null"))
        }
        _ => {
            let problem = format!("{wanted} is given twice, or written otherwise");
            Err(Fault::new(Code::AmbiguousRequest, problem))
        }
    }
}

fn complete(envelope: Envelope<'_>) -> Result<Envelope<'_>, Fault> {
    match (&envelope.text, envelope.hash) {
        // Some servers take an empty text for none, and then run what the hash names.
        (Some(text), _) if text.is_empty() => Err(Fault::bad("query is empty")),
        (None, None) if !envelope.odd => Err(Fault::bad("query is missing")),
        _ => Ok(envelope),
    }
}

fn no_json(fault: serde_json::Error) -> Fault {
    // It may quote what is there.
    let fault: String = fault.to_string().chars().take(160).collect();
    Fault::bad(format!(
        "the message is no JSON of the form it should have: {fault}"
    ))
}

fn json_too_deep() -> Fault {
    Fault::new(
        Code::JsonTooDeep,
        format!("the JSON is nested deeper than {JSON_DEPTH} levels"),
    )
}

/// Only JSON in UTF-8 goes further, and only as it is: what else servers may read, such as forms, is not classed.
fn is_json(headers: &HeaderMap) -> Result<(), Fault> {
    let unsupported = |problem: &'static str| Fault::new(Code::UnsupportedMediaType, problem);
    let plain = headers.get_all(header::CONTENT_ENCODING).iter();
    if plain
        .into_iter()
        .any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"identity"))
    {
        return Err(unsupported("the body is encoded; send it as it is"));
    }
    let mut types = headers.get_all(header::CONTENT_TYPE).iter();
    let wanted = unsupported("the content type is not application/json");
    let (Some(given), None) = (types.next(), types.next()) else {
        return Err(wanted);
    };
    let given = given.to_str().map_err(|_| wanted.clone())?;
    let mut parts = given.split(';').map(str::trim);
    if !parts
        .next()
        .is_some_and(|media| media.eq_ignore_ascii_case("application/json"))
    {
        return Err(wanted);
    }
    for parameter in parts {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        let charset = name.trim().eq_ignore_ascii_case("charset");
        if charset && !value.trim().trim_matches('"').eq_ignore_ascii_case("utf-8") {
            return Err(unsupported("the charset is not utf-8"));
        }
    }
    Ok(())
}
