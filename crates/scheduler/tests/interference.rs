//! What the model of interference learns.

use std::sync::Arc;

use scheduler::interference::Image;
use scheduler::interference::Model;

const LIMIT: f64 = 18.0;
const BASE: f64 = 7.0;

fn images(model: &mut Model) -> [Image; 4] {
    ["orders", "stock", "heavy", "light"].map(|name| model.image(Some(&Arc::from(name))))
}

/// Plays figures of a fleet on which only `heavy` disturbs, and only `orders`.
fn learned() -> (Model, [Image; 4]) {
    let mut model = Model::default();
    let [orders, stock, heavy, light] = images(&mut model);
    for step in 0..400_u32 {
        let share = f64::from(step % 5) / 20.0;
        let other = f64::from(step % 3) / 10.0;
        let loads = [(heavy, share), (light, other)];
        model.learn(orders, BASE * (8.0 * share).exp(), LIMIT, &loads);
        model.learn(stock, BASE, LIMIT, &loads);
        model.learn(orders, BASE, LIMIT, &[]);
        model.learn(stock, BASE, LIMIT, &[]);
    }
    (model, [orders, stock, heavy, light])
}

#[test]
fn presses_of_pairs_are_told_apart() {
    let (model, [orders, stock, heavy, light]) = learned();
    assert!(model.press(orders, heavy) > 6.0);
    assert!(model.press(orders, light) < 1.0);
    assert!(model.press(stock, heavy) < 1.0);
    assert!(model.press(stock, light) < 1.0);
}

#[test]
fn the_expected_tail_is_over_its_limit_only_under_a_pressing_load() {
    let (model, [orders, stock, heavy, light]) = learned();
    let excess = |serving, filling| model.excess(serving, LIMIT, [(filling, 0.2)].into_iter());
    assert!(excess(orders, heavy) > 0.0);
    assert!(excess(orders, light) < -0.4);
    assert!(excess(stock, heavy) < -0.4);
}

#[test]
fn one_extreme_figure_changes_little() {
    let (mut model, [orders, _, _, light]) = learned();
    model.learn(orders, 100_000.0, LIMIT, &[(light, 0.3)]);
    assert!(model.press(orders, light) < 2.0);
}

/// Guards against workers that turn slow: their tails rise a hundredfold whatever fills beside them.
#[test]
fn figures_far_above_what_is_expected_change_little() {
    let (mut model, [orders, stock, heavy, light]) = learned();
    for round in 0..300_u32 {
        let times = if round % 5 == 0 { 100.0 } else { 1.0 };
        let loads = [(heavy, 0.2), (light, 0.2)];
        let pressed = BASE * (8.0_f64 * 0.2).exp();
        model.learn(orders, times * pressed, LIMIT, &loads);
        model.learn(orders, times * BASE, LIMIT, &[(light, 0.3)]);
        model.learn(orders, times * BASE, LIMIT, &[]);
        model.learn(stock, times * BASE, LIMIT, &loads);
        model.learn(stock, times * BASE, LIMIT, &[]);
    }
    let excess = |serving, filling| model.excess(serving, LIMIT, [(filling, 0.2)].into_iter());
    assert!(excess(orders, heavy) > 0.0);
    assert!(excess(orders, light) < -0.4);
    assert!(excess(stock, heavy) < -0.4);
}

/// Guards against a wrong first belief: images that disturb far more than is assumed of unknown ones.
#[test]
fn a_press_far_above_the_assumed_one_is_learned_from_few_figures() {
    let mut model = Model::default();
    let [orders, _, heavy, _] = images(&mut model);
    for _ in 0..24 {
        model.learn(
            orders,
            BASE * (10.0_f64 * 0.25).exp(),
            LIMIT,
            &[(heavy, 0.25)],
        );
    }
    assert!(model.press(orders, heavy) > 6.0);
}
