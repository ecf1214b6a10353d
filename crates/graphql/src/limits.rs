//! What a document may hold, and a pass over its tokens that checks what can be checked before a parser that
//! recurses sees it.

use crate::fault::{Code, Fault};
use apollo_parser::{Lexer, TokenKind};

/// What a request may hold. Whatever holds more is answered with an error that names the limit, and no server
/// hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a body, or of a URL's query.
    pub bytes: usize,
    /// Tokens of a document; white space, commas and comments are none, but there may be thrice as many of them.
    pub tokens: usize,
    /// Selections within selections, fragments included: a root field lies at 1. At most [`Limits::DEEPEST`].
    pub depth: u32,
    /// Aliases of an operation, fragments included as often as they are spread.
    pub aliases: u32,
    /// Fields of an operation, likewise.
    pub fields: u32,
    /// Bytes of a name.
    pub name: usize,
    /// Operations of a batch; 0 where none are taken.
    pub operations: usize,
}

impl Limits {
    /// The parser recurses; so deep it does so on any thread's stack.
    pub const DEEPEST: u32 = 128;
}

/// Brackets that values and inline fragments may add to the depth of the selections.
const VALUES: u32 = 16;
/// Tokens, and pieces of what stands between them, for each token that is allowed.
const BETWEEN: usize = 4;

/// Goes over the tokens without recursion and without keeping any. False where some of the text is no token:
/// then no parser needs to see it.
pub(crate) fn scan(text: &str, limits: &Limits) -> Result<bool, Fault> {
    let deepest = limits.depth + VALUES;
    let (mut sound, mut tokens, mut depth) = (true, 0usize, 0u32);
    for (number, lexed) in Lexer::new(text).enumerate() {
        // The parser keeps what stands between tokens as well.
        if number / BETWEEN >= limits.tokens {
            return Err(too_many(limits));
        }
        // Behind what is no token the rest is counted all the same: a server may read it otherwise.
        let Ok(token) = lexed else {
            sound = false;
            tokens += 1;
            continue;
        };
        match token.kind() {
            TokenKind::Whitespace | TokenKind::Comment | TokenKind::Comma | TokenKind::Eof => {
                continue;
            }
            TokenKind::LCurly | TokenKind::LParen | TokenKind::LBracket => depth += 1,
            TokenKind::RCurly | TokenKind::RParen | TokenKind::RBracket => {
                depth = depth.saturating_sub(1)
            }
            TokenKind::Name if token.data().len() > limits.name => {
                let problem = format!(
                    "a name holds {} bytes; at most {} are allowed",
                    token.data().len(),
                    limits.name
                );
                return Err(Fault::new(Code::NameTooLong, problem));
            }
            _ => {}
        }
        tokens += 1;
        if tokens > limits.tokens {
            return Err(too_many(limits));
        }
        if depth > deepest {
            return Err(too_deep(limits));
        }
    }
    Ok(sound)
}

fn too_many(limits: &Limits) -> Fault {
    let problem = format!("the document holds more than {} tokens", limits.tokens);
    Fault::new(Code::TooManyTokens, problem)
}

pub(crate) fn too_deep(limits: &Limits) -> Fault {
    Fault::new(
        Code::TooDeep,
        format!("the document is nested deeper than {} levels", limits.depth),
    )
}
