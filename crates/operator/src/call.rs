//! Converts calls from the schema to the decision logic.

use decision::config::Version;
use decision::operator::Action;
use decision::operator::Call;
use schema::v1;

use crate::value;
use crate::value::Error;

/// Decoding of a request of the schema into a call.
pub(crate) trait Decode: Sized {
    /// Checks the request and returns the call.
    fn decode(self) -> Result<Call, Error>;
}

impl Decode for v1::SubmitRequest {
    fn decode(self) -> Result<Call, Error> {
        let job = value::decode_job(value::required("job", self.job)?)?;
        call(&self.call, Action::Submit(job))
    }
}

impl Decode for v1::CancelRequest {
    fn decode(self) -> Result<Call, Error> {
        let job = value::decode_name("job", &self.job)?;
        call(&self.call, Action::Cancel { job })
    }
}

impl Decode for v1::DrainRequest {
    fn decode(self) -> Result<Call, Error> {
        let vm = value::decode_name("vm", &self.vm)?;
        let leave = self.leave;
        call(&self.call, Action::Drain { vm, leave })
    }
}

impl Decode for v1::ReconfigureRequest {
    fn decode(self) -> Result<Call, Error> {
        let document = value::decode_document(value::required("document", self.document)?)?;
        let action = Action::Reconfigure {
            expected: Version(self.expected),
            document,
            dry_run: self.dry_run,
        };
        call(&self.call, action)
    }
}

/// A status call changes nothing, so all status calls share one id.
impl Decode for v1::StatusRequest {
    fn decode(self) -> Result<Call, Error> {
        let job = value::decode_optional_name("job", &self.job)?;
        call("status", Action::Status { job })
    }
}

fn call(id: &str, action: Action) -> Result<Call, Error> {
    let id = value::decode_name("call", id)?;
    Ok(Call { id, action })
}
