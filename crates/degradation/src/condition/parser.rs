//! The parser of conditions. The grammar is in the documentation of [`super`].

use super::expression::{Comparison, Expression, Operator};
use crate::{ConditionError, Signal};
use madderloom_config_reader::Span;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// The longest text that is parsed, in bytes.
const MAX_BYTES: usize = 2_048;
/// The deepest nesting of parentheses and negations. It bounds recursion.
const MAX_DEPTH: usize = 32;
/// Characters of the text that an error quotes, at most.
const QUOTED_CHARS: usize = 20;

/// A parsed text.
pub(super) struct Parsed {
    pub(super) expression: Expression,
    /// Number of `for` durations in it.
    pub(super) durations: usize,
}

/// Parses a whole text.
pub(super) fn parse(text: &str) -> Result<Parsed, ConditionError> {
    if text.len() > MAX_BYTES {
        return Err(ConditionError::TooLong {
            max_bytes: MAX_BYTES,
        });
    }
    let mut parser = ConditionParser {
        depth: 0,
        durations: 0,
        error: None,
    };
    let mut rest = text;
    let result = parser.condition(&mut rest);
    // A specific error says more than where the grammar failed.
    if let Some(error) = parser.error {
        return Err(error);
    }
    let expression = result.map_err(|failure| syntax_error(failure, rest))?;
    if !rest.trim().is_empty() {
        return Err(ConditionError::TrailingText { at: quoted(rest) });
    }
    Ok(Parsed {
        expression,
        durations: parser.durations,
    })
}

fn syntax_error(failure: ErrMode<ContextError>, rest: &str) -> ConditionError {
    let context = failure.into_inner().unwrap_or_default();
    let expected: Vec<String> = context.context().map(|part| part.to_string()).collect();
    let expected = if expected.is_empty() {
        "a condition".to_string()
    } else {
        expected.join(", ")
    };
    ConditionError::Syntax {
        at: quoted(rest),
        expected,
    }
}

fn quoted(text: &str) -> String {
    text.trim_start().chars().take(QUOTED_CHARS).collect()
}

type Parse<T> = Result<T, ErrMode<ContextError>>;

/// A recursive-descent parser. A specific error is kept in `error`, and parsing cut off.
struct ConditionParser {
    depth: usize,
    durations: usize,
    error: Option<ConditionError>,
}

impl ConditionParser {
    fn condition(&mut self, text: &mut &str) -> Parse<Expression> {
        let mut operands = vec![self.conjunction(text)?];
        while opt(keyword("or")).parse_next(text)?.is_some() {
            operands.push(self.conjunction(text)?);
        }
        Ok(if operands.len() == 1 {
            operands.remove(0)
        } else {
            Expression::Any(operands)
        })
    }

    fn conjunction(&mut self, text: &mut &str) -> Parse<Expression> {
        let mut operands = vec![self.term(text)?];
        while opt(keyword("and")).parse_next(text)?.is_some() {
            operands.push(self.term(text)?);
        }
        Ok(if operands.len() == 1 {
            operands.remove(0)
        } else {
            Expression::All(operands)
        })
    }

    fn term(&mut self, text: &mut &str) -> Parse<Expression> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            self.error = Some(ConditionError::TooDeep {
                max_depth: MAX_DEPTH,
            });
            return Err(ErrMode::Cut(ContextError::new()));
        }
        let operand = self.negation_or_group(text)?;
        self.depth -= 1;
        if opt(keyword("for")).parse_next(text)?.is_none() {
            return Ok(operand);
        }
        self.sustained(operand, text)
    }

    fn negation_or_group(&mut self, text: &mut &str) -> Parse<Expression> {
        if opt(keyword("not")).parse_next(text)?.is_some() {
            let operand = self.term(text)?;
            return Ok(Expression::Not(Box::new(operand)));
        }
        if opt(symbol('(')).parse_next(text)?.is_none() {
            return self.comparison(text).map(Expression::Comparison);
        }
        let group = self.condition(text)?;
        cut_err(symbol(')'))
            .context(expected("a closing parenthesis"))
            .parse_next(text)?;
        Ok(group)
    }

    /// The duration after `for`.
    fn sustained(&mut self, operand: Expression, text: &mut &str) -> Parse<Expression> {
        let duration = cut_err(quantity)
            .context(expected("a span of time, such as 2s"))
            .parse_next(text)?;
        let duration = match duration.parse::<Span>() {
            Ok(duration) => duration.micros(),
            Err(problem) => return self.reject(ConditionError::Duration(problem.to_string())),
        };
        let state = self.durations;
        self.durations += 1;
        Ok(Expression::Sustained {
            duration,
            state,
            operand: Box::new(operand),
        })
    }

    fn comparison(&mut self, text: &mut &str) -> Parse<Comparison> {
        let signal = self.signal(text)?;
        let operator_text: &str = cut_err(preceded(multispace0, alt((">=", "<=", ">", "<"))))
            .context(expected("one of > >= < <="))
            .parse_next(text)?;
        let bound_text = cut_err(quantity)
            .context(expected("a number, a percentage or a span of time"))
            .parse_next(text)?;
        let bound = match parse_bound(&signal, bound_text) {
            Ok(bound) => bound,
            Err(error) => return self.reject(error),
        };
        let operator = match operator_text {
            ">" => Operator::Above,
            ">=" => Operator::AtLeast,
            "<" => Operator::Below,
            _ => Operator::AtMost,
        };
        if let Some(result) = constant_result(operator, bound, signal.max_value()) {
            return self.reject(ConditionError::Constant {
                comparison: format!("{signal} {operator_text} {bound_text}"),
                result,
            });
        }
        Ok(Comparison {
            signal,
            operator,
            bound,
        })
    }

    fn signal(&mut self, text: &mut &str) -> Parse<Signal> {
        let name: &str = preceded(multispace0, take_while(1.., is_name_char))
            .context(expected("a signal"))
            .parse_next(text)?;
        let class_name = preceded(multispace0, take_while(1.., is_class_char));
        let class: Option<&str> =
            opt(delimited(symbol('('), class_name, symbol(')'))).parse_next(text)?;
        match Signal::from_name(name, class) {
            Ok(signal) => Ok(signal),
            Err(error) => self.reject(error.into()),
        }
    }

    fn reject<T>(&mut self, error: ConditionError) -> Parse<T> {
        self.error.get_or_insert(error);
        Err(ErrMode::Cut(ContextError::new()))
    }
}

/// `always` or `never` if a comparison has the same result for all values from 0 to `max`.
fn constant_result(operator: Operator, bound: f64, max: f64) -> Option<&'static str> {
    let holds_at_min = operator.holds(0.0, bound);
    let holds_at_max = operator.holds(max, bound);
    match (holds_at_min, holds_at_max) {
        (true, true) => Some("always"),
        (false, false) => Some("never"),
        _ => None,
    }
}

/// The bound of a comparison: microseconds for durations, otherwise a share.
fn parse_bound(signal: &Signal, text: &str) -> Result<f64, ConditionError> {
    let bound = if signal.is_duration() {
        text.parse::<Span>()
            .map(|duration| duration.micros() as f64)
            .map_err(|problem| problem.to_string())
    } else if let Some(percentage) = text.strip_suffix('%') {
        parse_number(percentage).map(|percentage| percentage / 100.0)
    } else {
        parse_number(text)
    };
    bound.map_err(|problem| ConditionError::Bound {
        signal: signal.to_string(),
        problem,
    })
}

fn parse_number(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
    number.ok_or_else(|| format!("{text:?}, which is no number or percentage"))
}

fn keyword<'a>(keyword: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    let word = take_while(1.., is_name_char);
    (multispace0, word.verify(move |word: &str| word == keyword)).void()
}

fn symbol<'a>(symbol: char) -> impl Parser<&'a str, char, ErrMode<ContextError>> {
    preceded(multispace0, one_of(symbol))
}

/// A number with an optional unit.
fn quantity<'a>(text: &mut &'a str) -> Parse<&'a str> {
    let number = take_while(1.., |c: char| c.is_ascii_digit() || c == '.');
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic() || c == '%');
    preceded(multispace0, (number, unit).take()).parse_next(text)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

fn is_class_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.')
}
