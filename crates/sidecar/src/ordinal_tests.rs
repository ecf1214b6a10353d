//! Which instance names contain an ordinal.

use super::ordinal::ordinal_in_name;
use rstest::rstest;

#[rstest]
#[case::letters_and_digits("n22", Some(22))]
#[case::after_a_separator("reports-17", Some(17))]
#[case::digits_alone("7", Some(7))]
#[case::leading_zeros("eu.reports_007", Some(7))]
#[case::an_earlier_number("eu2-reports-3", Some(3))]
#[case::no_number("reports", None)]
#[case::no_name("", None)]
#[case::a_trailing_separator("reports-", None)]
#[case::a_generated_suffix("reports-5d8f7-x2k9", None)]
#[case::digits_before_letters("reports-2b", None)]
#[case::too_many_digits("reports-20261203", None)]
#[case::non_ascii_digits("reports-\u{0663}", None)]
fn the_ordinal_at_the_end_of_a_name_is_found(#[case] name: &str, #[case] ordinal: Option<u32>) {
    assert_eq!(ordinal_in_name(name), ordinal);
}
