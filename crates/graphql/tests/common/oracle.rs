//! What other parsers make of a document.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Query,
    Mutation,
    Subscription,
}

/// The kind of the operation that would run, by `async-graphql-parser`; none where it reads none.
pub fn async_graphql(document: &str, name: Option<&str>) -> Option<Kind> {
    use async_graphql_parser::{parse_query, types::OperationType};
    let document = parse_query(document).ok()?;
    let operations = document.operations.iter().map(|(name, operation)| {
        let kind = match operation.node.ty {
            OperationType::Query => Kind::Query,
            OperationType::Mutation => Kind::Mutation,
            OperationType::Subscription => Kind::Subscription,
        };
        (name.map(|name| name.to_string()), kind)
    });
    pick(operations.collect(), name)
}

/// The same by `graphql-parser`.
pub fn graphql_parser(document: &str, name: Option<&str>) -> Option<Kind> {
    use graphql_parser::query::{Definition, OperationDefinition, parse_query};
    let document = parse_query::<String>(document).ok()?;
    let operations = document
        .definitions
        .into_iter()
        .filter_map(|definition| match definition {
            Definition::Operation(OperationDefinition::SelectionSet(_)) => {
                Some((None, Kind::Query))
            }
            Definition::Operation(OperationDefinition::Query(query)) => {
                Some((query.name, Kind::Query))
            }
            Definition::Operation(OperationDefinition::Mutation(mutation)) => {
                Some((mutation.name, Kind::Mutation))
            }
            Definition::Operation(OperationDefinition::Subscription(other)) => {
                Some((other.name, Kind::Subscription))
            }
            Definition::Fragment(_) => None,
        });
    pick(operations.collect(), name)
}

fn pick(operations: Vec<(Option<String>, Kind)>, name: Option<&str>) -> Option<Kind> {
    match (name, operations.as_slice()) {
        (None, [(_, only)]) => Some(*only),
        (None, _) => None,
        (Some(_), all) => all
            .iter()
            .find(|(there, _)| there.as_deref() == name)
            .map(|(_, kind)| *kind),
    }
}
