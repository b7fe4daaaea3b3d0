//! Changes of the configuration while a server is silent.

use super::*;

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    None,
    Weights,
    Route,
    Longer,
    Shorter,
    Storm,
    /// Services and routes are gone.
    Dropped,
    /// The services have other names.
    Renamed,
    /// The routes are those of another host name.
    Moved,
}

pub const CHANGES: [Change; 9] = [
    Change::None,
    Change::Weights,
    Change::Route,
    Change::Longer,
    Change::Shorter,
    Change::Storm,
    Change::Dropped,
    Change::Renamed,
    Change::Moved,
];

impl Change {
    /// Returns the configurations that follow one, in order.
    pub fn apply(self, base: &Catalog) -> Vec<Catalog> {
        let versions = match self {
            Self::None => 0,
            Self::Storm => 6,
            _ => 1,
        };
        (1..=versions)
            .map(|number| self.version(base, number))
            .collect()
    }

    fn version(self, base: &Catalog, number: u64) -> Catalog {
        let mut changed = base.clone();
        changed.version += number;
        match self {
            Self::Dropped => {
                changed.services.clear();
                changed.routes.clear();
            }
            Self::Renamed => {
                let services = std::mem::take(&mut changed.services).into_iter();
                changed.services = services
                    .map(|(name, service)| (format!("{name}-new").into(), service))
                    .collect();
            }
            _ => {}
        }
        for route in &mut changed.routes {
            match self {
                Self::Weights => route.split.push(("other".into(), 3)),
                Self::Route => route.split = vec![("other".into(), 1)],
                Self::Longer => route.timeout *= 2,
                Self::Shorter => route.timeout /= 2,
                Self::Storm => route.timeout += Duration::from_millis(100 * (number - 1)),
                Self::Renamed => {
                    for (service, _) in &mut route.split {
                        *service = format!("{service}-new").into();
                    }
                }
                Self::Moved => route.host = "moved".into(),
                Self::None | Self::Dropped => {}
            }
        }
        changed
    }
}
