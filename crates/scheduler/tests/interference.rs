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
