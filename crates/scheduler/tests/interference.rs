//! What the model of interference learns.

use std::sync::Arc;

use scheduler::interference::Image;
use scheduler::interference::Model;

const BASE: f64 = 2.5;
const HEAVY: f64 = 10.0;

fn images(model: &mut Model) -> [Image; 4] {
    ["orders", "stock", "heavy", "light"].map(|name| model.image(Some(&Arc::from(name))))
}

/// Plays figures of a fleet on which only `heavy` disturbs, and only `orders`.
fn learned() -> (Model, [Image; 4]) {
    let mut model = Model::default();
    let [orders, stock, heavy, light] = images(&mut model);
    for step in 0..400_u32 {
        let share = f64::from(step % 5) / 40.0;
        let other = f64::from(step % 3) / 10.0;
        let loads = [(heavy, share), (light, other)];
        model.learn(orders, BASE - HEAVY * share, &loads);
        model.learn(stock, BASE, &loads);
        model.learn(orders, BASE, &[]);
        model.learn(stock, BASE, &[]);
    }
    (model, [orders, stock, heavy, light])
}

#[test]
fn presses_of_pairs_are_told_apart() {
    let (model, [orders, stock, heavy, light]) = learned();
    assert!(model.coefficient(orders, heavy) > 0.8 * HEAVY);
    assert!(model.coefficient(orders, light) < 0.1 * HEAVY);
    assert!(model.coefficient(stock, heavy) < 0.1 * HEAVY);
    assert!(model.coefficient(stock, light) < 0.1 * HEAVY);
}

#[test]
fn the_expected_tail_is_over_its_limit_only_under_a_pressing_load() {
    let (model, [orders, stock, heavy, light]) = learned();
    let slack = |serving, filling| model.slack(serving, [(filling, 0.2)].into_iter());
    assert!(slack(orders, heavy) < 1.0);
    assert!(slack(orders, light) > 2.0);
    assert!(slack(stock, heavy) > 2.0);
}

#[test]
fn one_extreme_figure_changes_little() {
    let (mut model, [orders, _, _, light]) = learned();
    model.learn(orders, 0.0, &[(light, 0.3)]);
    assert!(model.coefficient(orders, light) < 0.2 * HEAVY);
}

/// Guards against workers that turn slow: their tails rise a hundredfold whatever fills beside them.
#[test]
fn figures_far_above_what_is_expected_change_little() {
    let (mut model, [orders, stock, heavy, light]) = learned();
    for round in 0..300_u32 {
        let times = if round % 5 == 0 { 0.01 } else { 1.0 };
        let loads = [(heavy, 0.15), (light, 0.2)];
        model.learn(orders, times * (BASE - HEAVY * 0.15), &loads);
        model.learn(orders, times * BASE, &[(light, 0.3)]);
        model.learn(orders, times * BASE, &[]);
        model.learn(stock, times * BASE, &loads);
        model.learn(stock, times * BASE, &[]);
    }
    let slack = |serving, filling| model.slack(serving, [(filling, 0.15)].into_iter());
    assert!(slack(orders, heavy) < 1.2);
    assert!(slack(orders, light) > 1.7);
    assert!(slack(stock, heavy) > 1.7);
}

/// Guards against a wrong first belief: images that disturb far more than is assumed of unknown ones.
#[test]
fn a_press_far_above_the_assumed_one_is_learned_from_few_figures() {
    let mut model = Model::default();
    let [orders, _, heavy, _] = images(&mut model);
    for _ in 0..24 {
        model.learn(orders, BASE - 12.0 * 0.15, &[(heavy, 0.15)]);
    }
    assert!(model.coefficient(orders, heavy) > 10.0);
}

/// Guards against beliefs that follow the least slack that a figure can show: a worker that is far
/// over what it can bear shows no more than that.
#[test]
fn saturated_figures_do_not_weaken_a_press() {
    let (mut model, [orders, _, heavy, _]) = learned();
    for _ in 0..100 {
        model.learn(orders, 0.02, &[(heavy, 0.6)]);
    }
    assert!(model.coefficient(orders, heavy) > 0.8 * HEAVY);
}

/// Guards against leaders that learn anew what earlier ones knew, at the cost of serving tasks. The
/// numbers of images differ, since they follow the order of jobs.
#[test]
fn a_later_model_takes_over_what_was_learned() {
    let (model, _) = learned();
    let mut later = Model::default();
    let other = later.image(Some(&Arc::from("other")));
    let [light, heavy, stock, orders] =
        ["light", "heavy", "stock", "orders"].map(|name| later.image(Some(&Arc::from(name))));
    later.merge(&model.summary());
    assert!(later.coefficient(orders, heavy) > 0.7 * HEAVY);
    assert!(later.coefficient(orders, light) < 0.15 * HEAVY);
    assert!(later.coefficient(stock, heavy) < 0.15 * HEAVY);
    let first = Model::default();
    assert!(
        (later.coefficient(orders, other) - first.coefficient(orders, other)).abs() < f64::EPSILON
    );
}

#[test]
fn a_model_with_figures_of_its_own_keeps_them() {
    let (old, _) = learned();
    let mut model = Model::default();
    let [orders, _, heavy, _] = images(&mut model);
    for _ in 0..100 {
        model.learn(orders, BASE, &[(heavy, 0.2)]);
    }
    model.merge(&old.summary());
    assert!(model.coefficient(orders, heavy) < 0.2 * HEAVY);
}
