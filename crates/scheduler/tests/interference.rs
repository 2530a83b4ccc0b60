//! Tests of the interference model.

use std::sync::Arc;

use scheduler::interference::Image;
use scheduler::interference::Model;

const BASE_SLACK: f64 = 2.5;
const HEAVY_COEFFICIENT: f64 = 10.0;

fn images(model: &mut Model) -> [Image; 4] {
    ["orders", "stock", "heavy", "light"].map(|name| model.image(Some(&Arc::from(name))))
}

/// Trains a model with samples of a fleet on which only `heavy` interferes, and only with `orders`.
fn trained_model() -> (Model, [Image; 4]) {
    let mut model = Model::default();
    let [orders, stock, heavy, light] = images(&mut model);
    for step in 0..400_u32 {
        let share = f64::from(step % 5) / 40.0;
        let other = f64::from(step % 3) / 10.0;
        let loads = [(heavy, share), (light, other)];
        model.learn(orders, BASE_SLACK - HEAVY_COEFFICIENT * share, &loads);
        model.learn(stock, BASE_SLACK, &loads);
        model.learn(orders, BASE_SLACK, &[]);
        model.learn(stock, BASE_SLACK, &[]);
    }
    (model, [orders, stock, heavy, light])
}

#[test]
fn coefficients_of_pairs_are_distinguished() {
    let (model, [orders, stock, heavy, light]) = trained_model();
    assert!(model.coefficient(orders, heavy) > 0.8 * HEAVY_COEFFICIENT);
    assert!(model.coefficient(orders, light) < 0.1 * HEAVY_COEFFICIENT);
    assert!(model.coefficient(stock, heavy) < 0.1 * HEAVY_COEFFICIENT);
    assert!(model.coefficient(stock, light) < 0.1 * HEAVY_COEFFICIENT);
}

#[test]
fn the_expected_slack_is_below_one_only_under_an_interfering_load() {
    let (model, [orders, stock, heavy, light]) = trained_model();
    let slack = |serving, filling| model.slack(serving, [(filling, 0.2)].into_iter());
    assert!(slack(orders, heavy) < 1.0);
    assert!(slack(orders, light) > 2.0);
    assert!(slack(stock, heavy) > 2.0);
}

#[test]
fn one_extreme_sample_changes_little() {
    let (mut model, [orders, _, _, light]) = trained_model();
    model.learn(orders, 0.0, &[(light, 0.3)]);
    assert!(model.coefficient(orders, light) < 0.2 * HEAVY_COEFFICIENT);
}

/// Guards against samples of slow workers, whose tail latencies rise a hundredfold whatever runs
/// beside them.
#[test]
fn samples_of_slow_workers_change_little() {
    let (mut model, [orders, stock, heavy, light]) = trained_model();
    for round in 0..300_u32 {
        let factor = if round % 5 == 0 { 0.01 } else { 1.0 };
        let loads = [(heavy, 0.15), (light, 0.2)];
        model.learn(
            orders,
            factor * (BASE_SLACK - HEAVY_COEFFICIENT * 0.15),
            &loads,
        );
        model.learn(orders, factor * BASE_SLACK, &[(light, 0.3)]);
        model.learn(orders, factor * BASE_SLACK, &[]);
        model.learn(stock, factor * BASE_SLACK, &loads);
        model.learn(stock, factor * BASE_SLACK, &[]);
    }
    let slack = |serving, filling| model.slack(serving, [(filling, 0.15)].into_iter());
    assert!(slack(orders, heavy) < 1.2);
    assert!(slack(orders, light) > 1.7);
    assert!(slack(stock, heavy) > 1.7);
}

/// Guards against a wrong default: some images interfere far more than the default coefficient
/// assumes.
#[test]
fn a_coefficient_far_above_the_default_is_learned_from_few_samples() {
    let mut model = Model::default();
    let [orders, _, heavy, _] = images(&mut model);
    for _ in 0..24 {
        model.learn(orders, BASE_SLACK - 12.0 * 0.15, &[(heavy, 0.15)]);
    }
    assert!(model.coefficient(orders, heavy) > 10.0);
}

/// Guards against coefficients that follow the lowest slack that a measurement can show: a worker
/// far beyond its capacity shows no less than that slack.
#[test]
fn saturated_samples_do_not_lower_a_coefficient() {
    let (mut model, [orders, _, heavy, _]) = trained_model();
    for _ in 0..100 {
        model.learn(orders, 0.02, &[(heavy, 0.6)]);
    }
    assert!(model.coefficient(orders, heavy) > 0.8 * HEAVY_COEFFICIENT);
}

/// Guards against new leaders that learn the stored coefficients again at the cost of serving
/// tasks. The numbers of images differ between models, because they follow the order of jobs.
#[test]
fn a_later_model_merges_the_stored_coefficients() {
    let (model, _) = trained_model();
    let mut later = Model::default();
    let other = later.image(Some(&Arc::from("other")));
    let [light, heavy, stock, orders] =
        ["light", "heavy", "stock", "orders"].map(|name| later.image(Some(&Arc::from(name))));
    later.merge(&model.summary());
    assert!(later.coefficient(orders, heavy) > 0.7 * HEAVY_COEFFICIENT);
    assert!(later.coefficient(orders, light) < 0.15 * HEAVY_COEFFICIENT);
    assert!(later.coefficient(stock, heavy) < 0.15 * HEAVY_COEFFICIENT);
    let first = Model::default();
    assert!(
        (later.coefficient(orders, other) - first.coefficient(orders, other)).abs() < f64::EPSILON
    );
}

#[test]
fn a_model_with_samples_of_its_own_keeps_its_coefficients() {
    let (old, _) = trained_model();
    let mut model = Model::default();
    let [orders, _, heavy, _] = images(&mut model);
    for _ in 0..100 {
        model.learn(orders, BASE_SLACK, &[(heavy, 0.2)]);
    }
    model.merge(&old.summary());
    assert!(model.coefficient(orders, heavy) < 0.2 * HEAVY_COEFFICIENT);
}
