//! What a request asks for: one host and one path, read from its head, or the reason why it names neither.
//!
//! A request that two readers may understand in two ways must not reach a server by the reading of one of them. So
//! each hard case has one outcome:
//!
//! | the request has | outcome |
//! | --- | --- |
//! | no `Host`, as HTTP/1.1 | 400 |
//! | no `Host`, as HTTP/1.0 | no host: matched by routes that name none |
//! | several `Host` headers, equal ones too | 400 |
//! | an absolute target (`GET http://h/p`) | its host counts; a `Host` that names another one is a 400 |
//! | a target with another scheme, `*`, or of `CONNECT` | 400 |
//! | a host in upper case | read in lower case; paths keep their case |
//! | a host with one dot at its end | read without it; two are a 400 |
//! | a port in the host | read without it; one that is no port is a 400 |
//! | a user in the host, or a character that no host has | 400 |
//! | an IPv6 host in brackets | read as the address in its usual spelling |
//! | `.` or `..` as a segment, also as `%2e`, also before a `;` | 400 |
//! | an empty segment (`//`) | 400; one at the end (`/reports/`) is a segment of its own and empty |
//! | `%2f`, `%5c`, `\` or `%00` in a path | 400 |
//! | another escape (`%72eports`) | read as what it stands for (`reports`) |
//! | an escape that is none (`%zz`) | 400 |
//!
//! Only the reading is normal: the bytes go on to the server as they came.

use foldhash::quality::FixedState;
use http::header::{COOKIE, HOST, HeaderValue};
use http::{HeaderMap, Method, Uri, Version};
use percent_encoding::percent_decode;
use smallvec::SmallVec;
use std::borrow::Cow;
use std::fmt;
use std::hash::BuildHasher;
use std::net::{Ipv4Addr, Ipv6Addr};

/// The longest host, as DNS has it.
const LONGEST_HOST: usize = 253;

/// A segment of a path, its escapes read.
pub type Segment<'r> = Cow<'r, [u8]>;

/// A request as routes see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked<'r> {
    /// In lower case, without port and last dot; none where the request names none.
    pub host: Option<Cow<'r, str>>,
    /// The path from its first `/` on; that of `/` is one empty segment.
    pub segments: SmallVec<[Segment<'r>; 8]>,
    /// As it came: methods have a case.
    pub method: &'r Method,
    /// As they came.
    pub headers: &'r HeaderMap,
}

/// Why a request names no host or no path that all read alike. It is answered 400 with [`fmt::Display`]'s words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// HTTP/1.1 wants one.
    NoHost,
    /// Servers may read either.
    SeveralHosts,
    /// No host is spelled like this.
    OddHost,
    /// The target names another host than the header.
    HostsDisagree,
    /// Neither a path nor an absolute `http` target.
    OddTarget,
    /// `.` or `..`, plain or escaped.
    DotSegment,
    /// `//`.
    EmptySegment,
    /// An escaped `/` or `\`, a plain `\`, or a zero byte.
    HiddenSlash,
    /// A `%` without two hex digits behind it.
    OddEscape,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}

impl Fault {
    /// What is wrong, for the client.
    pub const fn text(self) -> &'static str {
        match self {
            Fault::NoHost => "Host is missing",
            Fault::SeveralHosts => "there are several Host headers",
            Fault::OddHost => "Host makes no sense",
            Fault::HostsDisagree => "the target names another host than Host",
            Fault::OddTarget => "the target is neither a path nor an http address",
            Fault::DotSegment => "the path has a segment . or ..",
            Fault::EmptySegment => "the path has an empty segment",
            Fault::HiddenSlash => "the path has an escaped slash, a backslash or a zero byte",
            Fault::OddEscape => "the path has a % without two hex digits",
        }
    }
}

impl<'r> Asked<'r> {
    /// Reads a request's head.
    pub fn read(
        method: &'r Method,
        uri: &'r Uri,
        version: Version,
        headers: &'r HeaderMap,
    ) -> Result<Self, Fault> {
        let mut hosts = headers.get_all(HOST).iter();
        let named = hosts.next();
        if hosts.next().is_some() {
            return Err(Fault::SeveralHosts);
        }
        let named = named
            .map(|host| host_of(host).ok_or(Fault::OddHost))
            .transpose()?;
        let host = match uri.authority() {
            // Without a scheme it is the target of CONNECT.
            Some(_) if !matches!(uri.scheme_str(), Some("http" | "https")) => {
                return Err(Fault::OddTarget);
            }
            Some(authority) => {
                let target = normal_host(authority.as_str()).ok_or(Fault::OddHost)?;
                if named.is_some_and(|named| named != target) {
                    return Err(Fault::HostsDisagree);
                }
                Some(target)
            }
            None => named,
        };
        if host.is_none() && version >= Version::HTTP_11 {
            return Err(Fault::NoHost);
        }
        let segments = segments(uri.path())?;
        Ok(Asked {
            host,
            segments,
            method,
            headers,
        })
    }

    /// The class that the path names: its first segment.
    pub fn class(&self) -> &[u8] {
        self.segments.first().map_or(&[], |s| s.as_ref())
    }
}

/// What a split between pools stays with: the cookie `key`, else `Idempotency-Key`, so that a repeat of a request
/// meets the servers that know the first try, else `X-Trace-Id`. None where the request has none of them.
pub fn split_key(headers: &HeaderMap) -> Option<u64> {
    let text = |value: &'_ HeaderValue| FixedState::with_seed(1).hash_one(value.as_bytes());
    let by_name = |name: &str| headers.get(name).map(text);
    subject(headers)
        .or_else(|| by_name("idempotency-key"))
        .or_else(|| by_name("x-trace-id"))
}

/// The subject of a request, the cookie `key`: as hex digits a number, or else the hash of what it is.
pub fn subject(headers: &HeaderMap) -> Option<u64> {
    headers.get_all(COOKIE).iter().find_map(|cookies| {
        let value = cookies
            .to_str()
            .ok()?
            .split(';')
            .find_map(|c| c.trim().strip_prefix("key="))?;
        Some(
            u64::from_str_radix(value, 16)
                .unwrap_or_else(|_| FixedState::with_seed(0).hash_one(value)),
        )
    })
}

fn host_of(value: &HeaderValue) -> Option<Cow<'_, str>> {
    // What is not visible ASCII is no host.
    normal_host(value.to_str().ok()?)
}

/// A host as routes compare it: in lower case, without port and last dot. None where it is no host.
pub fn normal_host(text: &str) -> Option<Cow<'_, str>> {
    if let Some(rest) = text.strip_prefix('[') {
        let (address, rest) = rest.split_once(']')?;
        let address: Ipv6Addr = address.parse().ok()?;
        let port = rest.strip_prefix(':').or(rest.is_empty().then_some(""))?;
        return is_port(port).then(|| Cow::Owned(format!("[{address}]")));
    }
    let (name, port) = text.split_once(':').unwrap_or((text, ""));
    let name = name.strip_suffix('.').unwrap_or(name);
    // A last label of digits alone makes it an address, which has but one spelling here.
    let last = name.rsplit('.').next().unwrap_or_default();
    let numeric = last.bytes().all(|b| b.is_ascii_digit());
    let sound = name.len() <= LONGEST_HOST
        && name.split('.').all(is_label)
        && is_port(port)
        && (!numeric || name.parse::<Ipv4Addr>().is_ok());
    let lower = || {
        if name.bytes().any(|b| b.is_ascii_uppercase()) {
            Cow::Owned(name.to_ascii_lowercase())
        } else {
            Cow::Borrowed(name)
        }
    };
    sound.then(lower)
}

fn is_port(text: &str) -> bool {
    text.is_empty() || (text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<u16>().is_ok())
}

fn is_label(label: &str) -> bool {
    let sound = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !label.is_empty() && label.len() <= 63 && label.bytes().all(sound)
}

/// The segments of a path, which begins with a slash.
pub(crate) fn segments(path: &str) -> Result<SmallVec<[Segment<'_>; 8]>, Fault> {
    let path = path.strip_prefix('/').ok_or(Fault::OddTarget)?;
    let mut segments = SmallVec::new();
    let mut rest = Some(path);
    while let Some(text) = rest {
        let (segment, behind) = match text.split_once('/') {
            Some((segment, behind)) => (segment, Some(behind)),
            None => (text, None),
        };
        if segment.is_empty() && behind.is_some() {
            return Err(Fault::EmptySegment);
        }
        segments.push(segment_of(segment)?);
        rest = behind;
    }
    Ok(segments)
}

fn segment_of(text: &str) -> Result<Segment<'_>, Fault> {
    let bytes = text.as_bytes();
    let escaped = |at: usize| {
        bytes
            .get(at + 1..at + 3)
            .is_some_and(|d| d.iter().all(u8::is_ascii_hexdigit))
    };
    if bytes
        .iter()
        .enumerate()
        .any(|(at, b)| *b == b'%' && !escaped(at))
    {
        return Err(Fault::OddEscape);
    }
    let segment: Cow<'_, [u8]> = percent_decode(bytes).into();
    if segment.iter().any(|b| matches!(b, b'/' | b'\\' | 0)) {
        return Err(Fault::HiddenSlash);
    }
    // Some servers take what follows a `;` for a parameter, and what stands before it for the segment.
    let name = segment.split(|b| *b == b';').next().unwrap_or_default();
    if name == b"." || name == b".." {
        return Err(Fault::DotSegment);
    }
    Ok(segment)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn read(
        version: Version,
        target: &str,
        hosts: &[&str],
    ) -> Result<(Option<String>, String), Fault> {
        let mut headers = HeaderMap::new();
        for host in hosts {
            headers.append(HOST, host.parse().expect("a value"));
        }
        let uri: Uri = target.parse().expect("a target");
        let asked = Asked::read(&Method::GET, &uri, version, &headers)?;
        let path: Vec<String> = asked
            .segments
            .iter()
            .map(|s| String::from_utf8_lossy(s).into_owned())
            .collect();
        Ok((asked.host.map(Cow::into_owned), path.join("|")))
    }

    #[rstest]
    #[case::plain("/a/b?c=%2e%2e//", &["h.org"], "h.org", "a|b")]
    #[case::root("/", &["h.org"], "h.org", "")]
    #[case::last_slash("/a/", &["h.org"], "h.org", "a|")]
    #[case::upper_case("/A/b", &["Reports.Example.ORG"], "reports.example.org", "A|b")]
    #[case::last_dot("/a", &["h.org."], "h.org", "a")]
    #[case::port("/a", &["h.org:8080"], "h.org", "a")]
    #[case::dot_and_port("/a", &["h.org.:8080"], "h.org", "a")]
    #[case::no_port("/a", &["h.org:"], "h.org", "a")]
    #[case::absolute("http://H.org:80/a", &["h.org"], "h.org", "a")]
    #[case::absolute_alone("http://h.org", &[], "h.org", "")]
    #[case::address("/a", &["10.0.0.4:5000"], "10.0.0.4", "a")]
    #[case::ipv6("/a", &["[0:0::1]:5000"], "[::1]", "a")]
    #[case::escape("/%72eports/%C3%a9%20;x", &["h"], "h", "reports|é ;x")]
    fn what_a_request_names(
        #[case] target: &str,
        #[case] hosts: &[&str],
        #[case] host: &str,
        #[case] path: &str,
    ) {
        let named = Ok((Some(host.to_string()), path.to_string()));
        assert_eq!(read(Version::HTTP_11, target, hosts), named);
    }

    #[rstest]
    #[case::no_host("/a", &[], Fault::NoHost)]
    #[case::two_hosts("/a", &["a", "b"], Fault::SeveralHosts)]
    #[case::one_host_twice("/a", &["a", "a"], Fault::SeveralHosts)]
    #[case::empty_host("/a", &[""], Fault::OddHost)]
    #[case::two_dots("/a", &["h.org.."], Fault::OddHost)]
    #[case::dot_first("/a", &[".h.org"], Fault::OddHost)]
    #[case::port("/a", &["h.org:65536"], Fault::OddHost)]
    #[case::port_text("/a", &["h.org:+1"], Fault::OddHost)]
    #[case::two_ports("/a", &["h.org:1:2"], Fault::OddHost)]
    #[case::user("/a", &["u@h.org"], Fault::OddHost)]
    #[case::list("/a", &["a, b"], Fault::OddHost)]
    #[case::short_address("/a", &["127.1"], Fault::OddHost)]
    #[case::octal_address("/a", &["0177.0.0.1"], Fault::OddHost)]
    #[case::odd_ipv6("/a", &["[::1"], Fault::OddHost)]
    #[case::behind_ipv6("/a", &["[::1]x"], Fault::OddHost)]
    #[case::disagree("http://h.org/a", &["x.org"], Fault::HostsDisagree)]
    #[case::target_user("http://u@h.org/a", &["h.org"], Fault::OddHost)]
    #[case::scheme("ftp://h.org/a", &["h.org"], Fault::OddTarget)]
    #[case::connect("h.org:80", &["h.org"], Fault::OddTarget)]
    #[case::star("*", &["h.org"], Fault::OddTarget)]
    #[case::dots("/a/../b", &["h"], Fault::DotSegment)]
    #[case::escaped_dots("/a/%2e%2E/b", &["h"], Fault::DotSegment)]
    #[case::half_escaped("/a/.%2e", &["h"], Fault::DotSegment)]
    #[case::dot_parameter("/a/..;x/b", &["h"], Fault::DotSegment)]
    #[case::one_dot("/./a", &["h"], Fault::DotSegment)]
    #[case::double_slash("/a//b", &["h"], Fault::EmptySegment)]
    #[case::first_slash("//b", &["h"], Fault::EmptySegment)]
    #[case::last_slashes("/b//", &["h"], Fault::EmptySegment)]
    #[case::hidden_slash("/a%2fb", &["h"], Fault::HiddenSlash)]
    #[case::hidden_backslash("/a%5Cb", &["h"], Fault::HiddenSlash)]
    #[case::backslash("/a\\b", &["h"], Fault::HiddenSlash)]
    #[case::zero("/a%00", &["h"], Fault::HiddenSlash)]
    #[case::odd_escape("/a%zz", &["h"], Fault::OddEscape)]
    #[case::short_escape("/a%2", &["h"], Fault::OddEscape)]
    fn what_names_nothing(#[case] target: &str, #[case] hosts: &[&str], #[case] fault: Fault) {
        assert_eq!(read(Version::HTTP_11, target, hosts), Err(fault));
    }

    #[test]
    fn an_old_request_may_name_no_host() {
        assert_eq!(
            read(Version::HTTP_10, "/a", &[]),
            Ok((None, "a".to_string()))
        );
    }
}
