//! Calls between the schema and the decision logic.

use decision::config::Version;
use decision::operator::Action;
use decision::operator::Call;
use schema::v1;

use crate::value;
use crate::value::Error;

/// A call checked from the wire, for any request type of the schema that changes state.
pub(crate) trait Checked: Sized {
    /// The call.
    fn check(self) -> Result<Call, Error>;
}

impl Checked for v1::SubmitRequest {
    fn check(self) -> Result<Call, Error> {
        let job = value::job(value::present("job", self.job)?)?;
        call(&self.call, Action::Submit(job))
    }
}

impl Checked for v1::CancelRequest {
    fn check(self) -> Result<Call, Error> {
        let job = value::name("job", &self.job)?;
        call(&self.call, Action::Cancel { job })
    }
}

impl Checked for v1::DrainRequest {
    fn check(self) -> Result<Call, Error> {
        let vm = value::name("vm", &self.vm)?;
        let leave = self.leave;
        call(&self.call, Action::Drain { vm, leave })
    }
}

impl Checked for v1::ReconfigureRequest {
    fn check(self) -> Result<Call, Error> {
        let document = value::document(value::present("document", self.document)?)?;
        let action = Action::Reconfigure {
            expected: Version(self.expected),
            document,
            dry_run: self.dry_run,
        };
        call(&self.call, action)
    }
}

/// A status call changes nothing, so its id need not be unique.
impl Checked for v1::StatusRequest {
    fn check(self) -> Result<Call, Error> {
        let job = value::optional("job", &self.job)?;
        call("status", Action::Status { job })
    }
}

fn call(id: &str, action: Action) -> Result<Call, Error> {
    let id = value::name("call", id)?;
    Ok(Call { id, action })
}
