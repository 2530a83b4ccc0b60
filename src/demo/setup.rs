//! The names, the configuration and the settings that the demo generates.

use decision::clock::Ms;
use decision::config::Document;
use decision::config::Limits;
use decision::config::Service;
use decision::config::Team;
use decision::name::Name;
use decision::resource::Size;

use super::Error;
use super::fleet;
use super::fleet::Fleet;
use crate::settings::Settings;

pub(super) fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the demo's names are valid")
}

pub(super) fn document(queue: u32) -> Document {
    let service = Service {
        name: name("shop"),
        reserved: fleet::RESERVED,
        queue,
        deadline: Ms(2_000),
        attempt: Ms(1_000),
    };
    let quota = Size {
        millicores: 1_000_000,
        memory_mb: 4_000_000,
        accelerators: 0,
    };
    let team = Team {
        name: name("shop"),
        quota,
        weight: 1,
    };
    Document {
        services: vec![service],
        teams: vec![team],
        limits: Limits::default(),
    }
}

pub(super) fn settings(
    name: &Name,
    number: usize,
    seeds: &[String],
    fleet: &Fleet,
) -> Result<Settings, Error> {
    let platform = fleet.address();
    let seeds = match seeds {
        [] => String::new(),
        seeds => format!("seeds={}\n", seeds.join(",")),
    };
    let text = format!(
        "[entry]\nname={name}\nfailure_domain=domain-{number}\n{seeds}\
         [listen]\ncaller=127.0.0.1:0\noperator=127.0.0.1:0\npeer=127.0.0.1:0\n\
         [platform]\ntable={platform}\nobjects={platform}\nvms={platform}\n\
         [limits]\nthreads=2\n[times]\nvms_ms=200\n"
    );
    Ok(Settings::parse("demo", &text)?)
}
