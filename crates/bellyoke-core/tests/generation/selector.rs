use crate::fixture::labels;
use bellyoke_core::generation::{Requirement, Selector, SelectorError, SelectorOperator};

fn expression(operator: SelectorOperator, values: &[&str]) -> Selector {
    Selector {
        match_labels: labels(&[]),
        match_expressions: vec![Requirement {
            key: "zone".to_owned(),
            operator,
            values: values.iter().map(|value| (*value).to_owned()).collect(),
        }],
    }
}

#[test]
fn operators_follow_the_kubernetes_rules_for_missing_labels() {
    let missing = labels(&[("service", "till")]);
    let cork = labels(&[("zone", "cork")]);
    let kerry = labels(&[("zone", "kerry")]);
    let cases = [
        (SelectorOperator::In, &["cork"][..], [false, true, false]),
        (SelectorOperator::NotIn, &["cork"], [true, false, true]),
        (SelectorOperator::Exists, &[], [false, true, true]),
        (SelectorOperator::DoesNotExist, &[], [true, false, false]),
    ];
    for (operator, values, expected) in cases {
        let selector = expression(operator, values);
        assert_eq!(selector.validate(), Ok(()));
        let matches = [&missing, &cork, &kerry].map(|labels| selector.matches(labels));
        assert_eq!(matches, expected, "{operator:?}");
    }
}

#[test]
fn all_conditions_must_hold() {
    let mut selector = expression(SelectorOperator::In, &["cork", "kerry"]);
    selector.match_labels = labels(&[("service", "till")]);
    assert!(selector.matches(&labels(&[("service", "till"), ("zone", "kerry")])));
    assert!(!selector.matches(&labels(&[("service", "till"), ("zone", "limerick")])));
    assert!(!selector.matches(&labels(&[("service", "listings"), ("zone", "kerry")])));
}

#[test]
fn validation_errors_are_distinguished() {
    let empty = Selector::default();
    assert_eq!(empty.validate(), Err(SelectorError::NoCondition));
    let without_values = expression(SelectorOperator::In, &[]);
    let error = SelectorError::ValuesMissing("zone".to_owned());
    assert_eq!(without_values.validate(), Err(error));
    let with_values = expression(SelectorOperator::Exists, &["cork"]);
    let error = SelectorError::ValuesUnexpected("zone".to_owned());
    assert_eq!(with_values.validate(), Err(error));
    let mut bad_key = empty.clone();
    bad_key.match_labels = labels(&[("-zone", "cork")]);
    assert_eq!(
        bad_key.validate(),
        Err(SelectorError::Key("-zone".to_owned()))
    );
    let mut bad_value = empty;
    bad_value.match_labels = labels(&[("bellyoke.dev/zone", "co rk")]);
    let error = SelectorError::Value {
        key: "bellyoke.dev/zone".to_owned(),
        value: "co rk".to_owned(),
    };
    assert_eq!(bad_value.validate(), Err(error));
}
