//! Split of a service's engines between the stages, and what it is made by.

use std::time::Duration;

use crate::core::Time;
use crate::core::relay::stages::{Demand, Split, planned_prefill, wanted_prefill};

/// Generates a test for each split: engines, prefill engines, prompts at a time, load of the others, and how many are
/// wanted.
macro_rules! splits {
    ($($name:ident: $engines:literal, $prefill:literal, $prompts:literal, $load:literal => $wanted:literal;)*) => {$(
        #[test]
        fn $name() {
            let split = Split {
                engines: $engines,
                prefill: $prefill,
                prompts: $prompts,
                decode_load: $load,
                fraction: 0.5,
                switch_time: Duration::from_secs(3),
            };
            assert_eq!(wanted_prefill(split), $wanted);
        }
    )*};
}

// Pattern: a large fleet that is mostly idle, with ten engines for each host. Guards against an order for every sixth
// engine, from which no caller gains.
splits! {
    an_idle_fleet_with_engines_for_each_host_stays: 300, 100, 5.0, 0.2 => 100;
    an_idle_fleet_with_few_prefill_engines_stays: 300, 10, 0.0, 0.2 => 10;
    a_fleet_with_few_prefill_engines_gets_some_for_its_prompts: 300, 10, 5.0, 0.2 => 10;
    a_fleet_whose_few_prefill_engines_are_busy_gets_some: 300, 10, 10.0, 0.2 => 17;
    a_half_busy_fleet_stays: 300, 100, 50.0, 0.2 => 100;
    a_busy_fleet_gets_more: 300, 100, 100.0, 0.2 => 120;
    an_overloaded_fleet_gets_its_full_share: 300, 100, 300.0, 0.2 => 150;
    a_small_idle_fleet_stays: 9, 3, 0.0, 0.2 => 3;
    a_small_busy_fleet_gets_its_full_share: 9, 3, 3.0, 0.2 => 5;
    a_small_half_busy_fleet_gets_one_more: 9, 3, 1.5, 0.2 => 4;
    an_idle_surplus_stays_while_the_others_have_free_slots: 9, 7, 0.0, 0.2 => 7;
    an_idle_surplus_is_given_up_where_the_others_are_full: 9, 7, 0.0, 0.8 => 5;
    busy_prefill_engines_outlast_a_loss_of_others: 50, 31, 21.0, 0.3 => 31;
    a_busy_surplus_is_given_up_where_the_others_are_full: 50, 31, 31.0, 0.9 => 25;
    the_last_engine_decodes: 1, 0, 0.0, 0.2 => 0;
    the_last_decode_engine_stays: 2, 2, 2.0, 0.2 => 1;
    the_first_prefill_engine_is_ordered_without_prompts: 12, 0, 0.0, 0.2 => 1;
}

/// Generates a test for each history of demand: pairs of seconds and prompts at ten prefill engines, and the bounds of
/// the prompts at a time that follow.
macro_rules! demands {
    ($($name:ident: [$(($secs:literal, $prompts:literal)),*] => $bounds:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut demand, mut now) = (Demand::default(), 1_000);
            for (secs, prompts) in [$(($secs, $prompts)),*] {
                for _ in 0..secs * 2 {
                    demand.record(prompts, 10.min(prompts as usize), 10, Time::from_millis(now));
                    now += 500;
                }
            }
            let bounds: std::ops::RangeInclusive<f64> = $bounds;
            assert!(bounds.contains(&demand.prompts(0)), "{} prompts", demand.prompts(0));
        }
    )*};
}

// Guards against orders for a burst that ends before they are carried out, and against a loss of engines after which the
// traffic of a minute ago finds too few.
demands! {
    a_prompt_for_each_engine_for_a_second_is_little: [(5, 0), (1, 10), (5, 0)] => 0.5..=1.5;
    a_burst_of_seconds_is_known_at_its_end: [(5, 0), (10, 10)] => 6.0..=7.0;
    a_burst_is_remembered_for_a_minute: [(5, 0), (10, 10), (60, 0)] => 3.5..=4.5;
    a_burst_is_forgotten_after_minutes: [(5, 0), (10, 10), (600, 0)] => 0.0..=0.1;
    prompts_count_that_wait_while_all_engines_are_busy: [(5, 0), (60, 30)] => 29.5..=30.0;
}

/// Guards against a host that has just started and takes no traffic known for no traffic, and against one that never
/// learns that there is none.
#[test]
fn half_of_the_engines_are_expected_to_be_busy_until_traffic_is_known() {
    let mut demand = Demand::default();
    demand.record(0, 0, 4, Time::from_millis(1_000));
    assert!((demand.prompts(4) - 2.0).abs() < 1e-9);
    demand.record(0, 0, 4, Time::from_millis(1_201_000));
    assert!(demand.prompts(4) < 0.001);
}

/// Guards against a new host that orders three engines one after the other, of which the last is away as traffic comes.
#[test]
fn a_new_host_plans_all_its_orders_at_once() {
    let split = Split {
        engines: 12,
        prefill: 3,
        prompts: 0.0,
        decode_load: 0.0,
        fraction: 0.5,
        switch_time: Duration::from_secs(3),
    };
    assert_eq!(planned_prefill(split, Demand::default()), 6);
    let large = Split {
        engines: 300,
        prefill: 100,
        ..split
    };
    assert_eq!(planned_prefill(large, Demand::default()), 100);
}
