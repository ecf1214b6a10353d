//! Which route a request takes.
//!
//! A route names what it wants of a request, and the pool or pools that such requests go to. Of the routes that want
//! nothing which a request lacks, the most specific takes it, by this order, where each line decides only what the
//! lines above it leave open:
//!
//! 1. a route of named listeners before one of all;
//! 2. a host in full, then `*.` and a suffix, the longer before the shorter, then any host;
//! 3. of the path, segment by segment from the left: one in full, then a template's `{name}`, then the end of what a
//!    prefix names; so a longer prefix goes before a shorter, and any path comes last;
//! 4. named methods before any;
//! 5. more headers before fewer, and of as many the one that names more of their values;
//! 6. a named class before any.
//!
//! Two routes of one rank that some request could match both are refused ([`Clash`]); so at most one route of a rank
//! matches, and the order is total where it is used.
//!
//! A request is looked up by its host in a hash table and by its path in a trie of segments. Only routes that share
//! host and path are tried one after another.

use crate::request::{self, Asked, normal_host};
use foldhash::quality::FixedState;
use http::{HeaderName, HeaderValue, Method};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;
use std::hash::BuildHasher;
use std::str::FromStr;

/// The most segments of a route's path.
const SEGMENTS: usize = 32;

/// A host that a route wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// Any, or none.
    #[default]
    Any,
    /// Whatever has one or more labels before this, which begins with its dot: `*.example.org` is `.example.org`.
    Suffix(String),
    /// This one.
    Exact(String),
}

impl FromStr for HostPattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (suffix, name) = match text.strip_prefix("*.") {
            Some(rest) => (true, rest),
            None => (false, text),
        };
        let wanted = "is no host; write one such as \"reports.example.org\" or \"*.example.org\", without a port";
        let host = normal_host(name)
            .filter(|_| name.starts_with('[') || !name.contains(':'))
            .ok_or(wanted)?;
        if suffix && host.starts_with('[') {
            return Err(wanted.into());
        }
        Ok(if suffix {
            HostPattern::Suffix(format!(".{host}"))
        } else {
            HostPattern::Exact(host.into_owned())
        })
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostPattern::Any => f.write_str("*"),
            HostPattern::Suffix(suffix) => write!(f, "*{suffix}"),
            HostPattern::Exact(host) => f.write_str(host),
        }
    }
}

/// A segment of a path that a route wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Piece {
    /// This one.
    Literal(String),
    /// Any that is not empty; the name is for people.
    Named(String),
}

/// A path that a route wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PathPattern {
    /// Its segments.
    pub pieces: Vec<Piece>,
    /// Whether more segments may follow.
    pub prefix: bool,
}

impl PathPattern {
    /// Any path.
    pub fn any() -> Self {
        PathPattern {
            pieces: Vec::new(),
            prefix: true,
        }
    }

    /// The path of exactly these segments: `/reports/{id}`.
    pub fn whole(text: &str) -> Result<Self, String> {
        Ok(PathPattern {
            pieces: pieces(text)?,
            prefix: false,
        })
    }

    /// Every path that begins with these segments, and the path of them alone: `/reports` has `/reports/7` and
    /// `/reports`, and not `/reportsx`.
    pub fn prefix(text: &str) -> Result<Self, String> {
        if text == "/" {
            return Ok(PathPattern::any());
        }
        if text.ends_with('/') {
            return Err(format!(
                "ends with a slash; write {:?}",
                text.trim_end_matches('/')
            ));
        }
        Ok(PathPattern {
            pieces: pieces(text)?,
            prefix: true,
        })
    }
}

fn pieces(text: &str) -> Result<Vec<Piece>, String> {
    if text.contains('%') {
        return Err("has a %; write what the escape stands for".into());
    }
    if text.contains(['?', '#']) {
        return Err("has a ? or #; routes look at the path alone".into());
    }
    let segments = request::segments(text).map_err(|fault| match fault {
        request::Fault::OddTarget => "is no path; it begins with /".to_string(),
        fault => fault.text().replace("the path ", ""),
    })?;
    if segments.len() > SEGMENTS {
        return Err(format!("has more than {SEGMENTS} segments"));
    }
    let piece = |segment: &request::Segment<'_>| {
        let text = String::from_utf8_lossy(segment).into_owned();
        match text.strip_prefix('{').and_then(|t| t.strip_suffix('}')) {
            Some(name) if !name.is_empty() && !name.contains(['{', '}']) => {
                Ok(Piece::Named(name.to_string()))
            }
            None if !text.contains(['{', '}']) => Ok(Piece::Literal(text)),
            _ => Err(format!(
                "has {text:?}; a template stands for a whole segment, such as \"{{id}}\""
            )),
        }
    };
    segments.iter().map(piece).collect()
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for piece in &self.pieces {
            match piece {
                Piece::Literal(text) => write!(f, "/{text}")?,
                Piece::Named(name) => write!(f, "/{{{name}}}")?,
            }
        }
        f.write_str(if self.prefix { "/**" } else { "" })
    }
}

/// What a route wants of a header. One that a request has several times has no value that all servers read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HeaderPattern {
    /// That it is there.
    Present,
    /// That it is there once, and has this value.
    Is(HeaderValue),
}

/// A route: what it wants of a request, and where such requests go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Its name, for people; no two routes have the same.
    pub name: String,
    /// By their places; all, if there are none.
    pub listeners: Vec<usize>,
    /// The host.
    pub host: HostPattern,
    /// The path.
    pub path: PathPattern,
    /// Any, if there are none.
    pub methods: Vec<Method>,
    /// All of them are wanted; no name is there twice.
    pub headers: Vec<(HeaderName, HeaderPattern)>,
    /// The class that the path names by its first segment.
    pub class: Option<String>,
    /// The class that its requests get, whatever their path names.
    pub set_class: Option<String>,
    /// Whether its requests are GraphQL, whose class follows from what they ask.
    pub graphql: bool,
    /// Pools by their places, and how much of the requests each gets in proportion. One at least is above 0.
    pub to: Vec<(usize, u32)>,
}

/// How specific a route is among those of its listeners, host and path.
type Rank = Reverse<(bool, usize, usize, bool)>;

impl Route {
    fn rank(&self) -> Rank {
        let values = self
            .headers
            .iter()
            .filter(|h| matches!(h.1, HeaderPattern::Is(_)))
            .count();
        Reverse((
            !self.methods.is_empty(),
            self.headers.len(),
            values,
            self.class.is_some(),
        ))
    }

    fn wants_method(&self, asked: &Asked<'_>) -> bool {
        self.methods.is_empty() || self.methods.contains(asked.method)
    }

    fn lacking_header(&self, asked: &Asked<'_>) -> Option<&HeaderName> {
        let has = |(name, pattern): &&(HeaderName, HeaderPattern)| {
            let mut values = asked.headers.get_all(name).iter();
            match (pattern, values.next(), values.next()) {
                (HeaderPattern::Present, Some(_), _) => true,
                (HeaderPattern::Is(wanted), Some(value), None) => wanted == value,
                _ => false,
            }
        };
        self.headers
            .iter()
            .find(|header| !has(header))
            .map(|(name, _)| name)
    }

    fn wants_class(&self, asked: &Asked<'_>) -> bool {
        self.class
            .as_ref()
            .is_none_or(|class| class.as_bytes() == asked.class())
    }

    fn wants(&self, asked: &Asked<'_>) -> bool {
        self.wants_method(asked) && self.wants_class(asked) && self.lacking_header(asked).is_none()
    }

    /// Whether some request could match both routes, which are alike in host and path.
    fn overlaps(&self, other: &Route) -> bool {
        let methods = |a: &Route, b: &Route| {
            a.methods.is_empty() || a.methods.iter().any(|m| b.methods.contains(m))
        };
        let of = |name: &HeaderName| {
            other
                .headers
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, p)| p)
        };
        let apart = |(name, mine): &(HeaderName, HeaderPattern)| matches!((mine, of(name)), (HeaderPattern::Is(a), Some(HeaderPattern::Is(b))) if a != b);
        let classes = self.class.is_none() || other.class.is_none() || self.class == other.class;
        (other.methods.is_empty() || methods(self, other))
            && classes
            && !self.headers.iter().any(apart)
    }

    /// Which of its pools a request of this key goes to: always the same while the weights are, and for another
    /// route's split not bound to this one's. A weight that changes moves no more of the keys than it must.
    pub fn choose(&self, key: u64) -> usize {
        let Some((last, _)) = self.to.last().filter(|_| self.to.len() > 1) else {
            return self.to.first().map_or(usize::MAX, |to| to.0);
        };
        let all: u64 = self.to.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let hash = FixedState::with_seed(0).hash_one((self.name.as_str(), key));
        // The upper half of the product lies evenly in 0..all.
        let mut at = ((u128::from(hash) * u128::from(all)) >> 64) as u64;
        for (pool, weight) in &self.to {
            match at.checked_sub(u64::from(*weight)) {
                None => return *pool,
                Some(rest) => at = rest,
            }
        }
        *last
    }
}

/// Two routes of one rank that some request could match both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clash {
    /// The place of one, and of the other behind it.
    pub routes: (usize, usize),
    /// A listener that has both, by its place.
    pub listener: usize,
}

/// Routes, ready to be looked up.
#[derive(Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
    /// For each listener the routes that name it, and those that name none.
    listeners: Vec<[Hosts; 2]>,
}

#[derive(Debug, Default)]
struct Hosts {
    exact: HashMap<String, Paths, FixedState>,
    suffix: HashMap<String, Paths, FixedState>,
    any: Paths,
}

/// A trie of segments; its root is the first node.
#[derive(Debug)]
struct Paths(Vec<Node>);

#[derive(Debug, Default)]
struct Node {
    literal: HashMap<Box<[u8]>, usize, FixedState>,
    named: Option<usize>,
    /// Routes whose path ends here, and those of which it is a prefix, by rank.
    end: Vec<usize>,
    rest: Vec<usize>,
}

impl Default for Paths {
    fn default() -> Self {
        Paths(vec![Node::default()])
    }
}

impl Paths {
    /// The routes of this pattern.
    fn place(&mut self, pattern: &PathPattern) -> &mut Vec<usize> {
        let mut at = 0;
        for piece in &pattern.pieces {
            let next = self.0.len();
            let node = &mut self.0[at];
            at = match piece {
                Piece::Literal(text) => *node.literal.entry(text.as_bytes().into()).or_insert(next),
                Piece::Named(_) => *node.named.get_or_insert(next),
            };
            if at == next {
                self.0.push(Node::default());
            }
        }
        let node = &mut self.0[at];
        if pattern.prefix {
            &mut node.rest
        } else {
            &mut node.end
        }
    }

    /// The first that is wanted, the most specific paths first.
    fn find(
        &self,
        at: usize,
        segments: &[request::Segment<'_>],
        wanted: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let node = self.0.get(at)?;
        let deeper = segments.split_first().and_then(|(first, rest)| {
            let literal = node
                .literal
                .get(first.as_ref())
                .and_then(|next| self.find(*next, rest, wanted));
            literal.or_else(|| {
                node.named
                    .filter(|_| !first.is_empty())
                    .and_then(|n| self.find(n, rest, wanted))
            })
        });
        let first = |routes: &[usize]| routes.iter().copied().find(|route| wanted(*route));
        deeper
            .or_else(|| {
                if segments.is_empty() {
                    first(&node.end)
                } else {
                    None
                }
            })
            .or_else(|| first(&node.rest))
    }
}

impl Hosts {
    fn place(&mut self, host: &HostPattern) -> &mut Paths {
        match host {
            HostPattern::Any => &mut self.any,
            HostPattern::Suffix(suffix) => self.suffix.entry(suffix.clone()).or_default(),
            HostPattern::Exact(host) => self.exact.entry(host.clone()).or_default(),
        }
    }

    fn find(&self, asked: &Asked<'_>, wanted: &dyn Fn(usize) -> bool) -> Option<usize> {
        let host = asked.host.as_deref().unwrap_or_default();
        let suffixes = host.match_indices('.').map(|(dot, _)| &host[dot..]);
        let named = self
            .exact
            .get(host)
            .into_iter()
            .chain(suffixes.filter_map(|s| self.suffix.get(s)));
        named
            .chain([&self.any])
            .find_map(|paths| paths.find(0, &asked.segments, wanted))
    }
}

impl Table {
    /// Takes in routes for so many listeners, or names those that clash.
    pub fn new(routes: Vec<Route>, listeners: usize) -> Result<Self, Vec<Clash>> {
        let mut table = Table {
            routes,
            listeners: Vec::new(),
        };
        table.listeners.resize_with(listeners, Default::default);
        let mut clashes = Vec::new();
        for (at, route) in table.routes.iter().enumerate() {
            for (listener, hosts) in table.listeners.iter_mut().enumerate() {
                let named = route.listeners.contains(&listener);
                if !named && !route.listeners.is_empty() {
                    continue;
                }
                let place = hosts[usize::from(!named)]
                    .place(&route.host)
                    .place(&route.path);
                let rank = route.rank();
                let alike = place
                    .iter()
                    .filter(|other| table.routes[**other].rank() == rank);
                let clash = alike
                    .copied()
                    .find(|other| table.routes[*other].overlaps(route));
                clashes.extend(clash.map(|other| Clash {
                    routes: (other, at),
                    listener,
                }));
                let behind = place.partition_point(|other| table.routes[*other].rank() <= rank);
                place.insert(behind, at);
            }
        }
        if clashes.is_empty() {
            Ok(table)
        } else {
            Err(clashes)
        }
    }

    /// The routes, by their places.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route that a request takes which came to this listener.
    pub fn find(&self, listener: usize, asked: &Asked<'_>) -> Option<usize> {
        let wanted = |at: usize| self.routes.get(at).is_some_and(|route| route.wants(asked));
        self.listeners
            .get(listener)?
            .iter()
            .find_map(|hosts| hosts.find(asked, &wanted))
    }

    /// Why each route does or does not take a request, in their order.
    pub fn explain(&self, listener: usize, asked: &Asked<'_>) -> Vec<Verdict> {
        let winner = self.find(listener, asked);
        let verdict = |(at, route): (usize, &Route)| {
            if Some(at) == winner {
                return Verdict::Taken;
            }
            if !route.listeners.is_empty() && !route.listeners.contains(&listener) {
                Verdict::OtherListener
            } else if !host_matches(&route.host, asked) {
                Verdict::OtherHost
            } else if !path_matches(&route.path, asked) {
                Verdict::OtherPath
            } else if !route.wants_method(asked) {
                Verdict::OtherMethod
            } else if let Some(name) = route.lacking_header(asked) {
                Verdict::LacksHeader(name.clone())
            } else if !route.wants_class(asked) {
                Verdict::OtherClass
            } else {
                let why = winner
                    .and_then(|w| self.routes.get(w))
                    .map_or("nothing", |w| less_specific(route, w));
                Verdict::LessSpecific(why)
            }
        };
        self.routes.iter().enumerate().map(verdict).collect()
    }
}

fn host_matches(pattern: &HostPattern, asked: &Asked<'_>) -> bool {
    match (pattern, asked.host.as_deref()) {
        (HostPattern::Any, _) => true,
        (HostPattern::Exact(host), Some(asked)) => host == asked,
        (HostPattern::Suffix(suffix), Some(asked)) => asked.ends_with(suffix.as_str()),
        _ => false,
    }
}

fn path_matches(pattern: &PathPattern, asked: &Asked<'_>) -> bool {
    let enough = asked.segments.len() >= pattern.pieces.len();
    let whole = pattern.prefix || asked.segments.len() == pattern.pieces.len();
    let alike = |(piece, segment): (&Piece, &request::Segment<'_>)| match piece {
        Piece::Literal(text) => text.as_bytes() == segment.as_ref(),
        Piece::Named(_) => !segment.is_empty(),
    };
    enough && whole && pattern.pieces.iter().zip(&asked.segments).all(alike)
}

/// The first line of the order by which a route comes behind the one that won.
fn less_specific(route: &Route, winner: &Route) -> &'static str {
    let Reverse((methods, headers, values, _)) = route.rank();
    let Reverse((won_methods, won_headers, won_values, _)) = winner.rank();
    if route.listeners.is_empty() != winner.listeners.is_empty() {
        "its listeners are not named"
    } else if route.host != winner.host {
        "its host is less specific"
    } else if shape(&route.path) != shape(&winner.path) {
        "its path is less specific"
    } else if methods != won_methods {
        "its methods are not named"
    } else if headers != won_headers {
        "it names fewer headers"
    } else if values != won_values {
        "it names fewer values of headers"
    } else {
        "its class is not named"
    }
}

/// A path's pattern without the names of its templates.
fn shape(path: &PathPattern) -> (Vec<Option<&str>>, bool) {
    let pieces = path.pieces.iter().map(|piece| match piece {
        Piece::Literal(text) => Some(text.as_str()),
        Piece::Named(_) => None,
    });
    (pieces.collect(), path.prefix)
}

/// Why a route does or does not take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It does.
    Taken,
    /// The request came to a listener that it does not name.
    OtherListener,
    /// It wants another host.
    OtherHost,
    /// It wants another path.
    OtherPath,
    /// It wants another method.
    OtherMethod,
    /// It wants a header that is not there, or not with the value.
    LacksHeader(HeaderName),
    /// It wants another class.
    OtherClass,
    /// It matches too; the words say what the other has before it.
    LessSpecific(&'static str),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Taken => f.write_str("takes it"),
            Verdict::OtherListener => f.write_str("is of another listener"),
            Verdict::OtherHost => f.write_str("wants another host"),
            Verdict::OtherPath => f.write_str("wants another path"),
            Verdict::OtherMethod => f.write_str("wants another method"),
            Verdict::LacksHeader(name) => write!(f, "wants another {name}"),
            Verdict::OtherClass => f.write_str("wants another class"),
            Verdict::LessSpecific(why) => write!(f, "matches too, but {why}"),
        }
    }
}
