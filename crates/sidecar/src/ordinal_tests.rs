//! Which names of instances tell their number.

use super::ordinal::ordinal_in_name;
use rstest::rstest;

#[rstest]
#[case::letters_and_digits("n22", Some(22))]
#[case::behind_a_separator("reports-17", Some(17))]
#[case::digits_alone("7", Some(7))]
#[case::leading_zeros("eu.reports_007", Some(7))]
#[case::an_earlier_number("eu2-reports-3", Some(3))]
#[case::no_number("reports", None)]
#[case::no_name("", None)]
#[case::a_separator_last("reports-", None)]
#[case::a_drawn_suffix("reports-5d8f7-x2k9", None)]
#[case::digits_before_letters("reports-2b", None)]
#[case::too_many_digits("reports-20261203", None)]
#[case::digits_of_another_script("reports-\u{0663}", None)]
fn the_number_that_a_name_ends_in(#[case] name: &str, #[case] ordinal: Option<u32>) {
    assert_eq!(ordinal_in_name(name), ordinal);
}
