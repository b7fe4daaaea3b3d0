//! Encoding of the loads of backend servers, and of the engine time of customers.

use std::time::Duration;

use super::gossip::millis;
use super::{WireError, generated as wire};
use crate::core::relay::event::{
    CONTEXT_UNIT, CustomerTime, EngineTimeReport, LoadReport, RestTime,
};

pub(super) fn to_loads(loads: &[LoadReport]) -> wire::Loads {
    wire::Loads {
        instances: loads.iter().map(|load| load.instance).collect(),
        calls: loads.iter().map(|load| load.calls).collect(),
        fill: loads.iter().map(|load| load.fill).collect(),
        tokens: loads.iter().map(|load| load.tokens).collect(),
        prompts: optional_column(loads.iter().map(|load| load.prompts)),
        context: optional_column(loads.iter().map(|load| load.context / CONTEXT_UNIT)),
    }
}

/// Returns a column of the loads, which is left out where it holds only zeros.
fn optional_column(values: impl Iterator<Item = u32> + Clone) -> Vec<u32> {
    let is_empty = values.clone().all(|value| value == 0);
    if is_empty {
        Vec::new()
    } else {
        values.collect()
    }
}

pub(super) fn from_loads(loads: &wire::Loads) -> Result<Vec<LoadReport>, WireError> {
    let columns = [&loads.calls, &loads.fill, &loads.tokens];
    if columns
        .iter()
        .any(|column| column.len() != loads.instances.len())
    {
        return Err(WireError::Field { field: "loads" });
    }
    // A host of an older build sends no such columns.
    for column in [&loads.prompts, &loads.context] {
        if !column.is_empty() && column.len() != loads.instances.len() {
            return Err(WireError::Field { field: "loads" });
        }
    }
    let prompts = loads.prompts.iter().copied().chain(std::iter::repeat(0));
    let context = loads.context.iter().copied().chain(std::iter::repeat(0));
    let rows = loads.instances.iter().zip(&loads.calls).zip(&loads.fill);
    let rows = rows.zip(&loads.tokens).zip(prompts).zip(context);
    let loads = rows.map(
        |(((((instance, calls), fill), tokens), prompts), context)| LoadReport {
            instance: *instance,
            calls: *calls,
            fill: *fill,
            tokens: *tokens,
            prompts,
            context: context.saturating_mul(CONTEXT_UNIT),
        },
    );
    Ok(loads.collect())
}

pub(super) fn to_engine_time(report: &EngineTimeReport) -> wire::EngineTime {
    let rows = &report.customers;
    wire::EngineTime {
        service: report.service,
        overload_age: millis(report.overload_age),
        customers: rows.iter().map(|row| row.customer).collect(),
        ranks: rows.iter().map(|row| row.rank.into()).collect(),
        used: rows.iter().map(|row| row.used_us).collect(),
        unmet: rows.iter().map(|row| row.unmet_us).collect(),
        rest_customers: report.rest.customers,
        rest_rank: report.rest.rank.into(),
        rest_used: report.rest.used_us,
        rest_unmet: report.rest.unmet_us,
    }
}

pub(super) fn from_engine_time(report: &wire::EngineTime) -> Result<EngineTimeReport, WireError> {
    let columns = [&report.ranks, &report.used, &report.unmet];
    if columns
        .iter()
        .any(|column| column.len() != report.customers.len())
    {
        return Err(WireError::Field {
            field: "engine_times",
        });
    }
    let rank = |rank: u32| u8::try_from(rank).unwrap_or(u8::MAX);
    let rows = report.customers.iter().zip(&report.ranks);
    let rows = rows.zip(&report.used).zip(&report.unmet);
    let customers = rows.map(|(((customer, ranked), used), unmet)| CustomerTime {
        customer: *customer,
        rank: rank(*ranked),
        used_us: *used,
        unmet_us: *unmet,
    });
    Ok(EngineTimeReport {
        service: report.service,
        overload_age: Duration::from_millis(report.overload_age.into()),
        customers: customers.collect(),
        rest: RestTime {
            customers: report.rest_customers,
            rank: rank(report.rest_rank),
            used_us: report.rest_used,
            unmet_us: report.rest_unmet,
        },
    })
}
