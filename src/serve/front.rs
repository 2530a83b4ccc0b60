//! The HTTP interface for customers, and the readiness check of the platform.

use std::sync::Arc;
use std::time::Duration;

use adapter::front;
use adapter::store;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use link::server::Limits;
use link::server::Server;
use scheduler::config::Queue;
use scheduler::id::Job;
use scheduler::job::Accepted;
use scheduler::message::Request as Write;
use scheduler::message::Storage;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use super::Error;
use super::Shared;
use super::chunks;
use super::clock;
use super::lock;
use super::persist;
use super::rows;

/// How long the leader may take to answer a query before the store is read instead.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// The value of the Retry-After header of a refusal.
const RETRY_AFTER_SECONDS: &str = "1";

type Answer = Response<Full<Bytes>>;

/// Starts a server for customers and the readiness check.
pub(super) fn start(shared: &Arc<Shared>, listener: TcpListener) -> Result<Server, Error> {
    let owned = Arc::clone(shared);
    let handler = move |request| {
        let shared = Arc::clone(&owned);
        async move { handle(&shared, request).await }
    };
    Server::start(&shared.spawner, listener, Limits::default(), handler)
        .map_err(|error| Error::Start(error.to_string()))
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    if request.method() == Method::GET && request.uri().path() == front::READINESS_PATH {
        return answer_readiness(shared);
    }
    let Some(config) = shared.config() else {
        return refuse(shared, "no-config", "-");
    };
    let path = request.uri().path().to_owned();
    let host = request.headers().get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some((queue, rest)) = config.find_queue(host, &path) else {
        return empty(StatusCode::NOT_FOUND);
    };
    if rest.is_empty() && request.method() == Method::GET {
        return answer_count(shared, queue);
    }
    let Ok(job) = rest.parse::<Job>() else {
        log::info!("kind=request-invalid queue={} cause=job-id", queue.name);
        return empty(StatusCode::BAD_REQUEST);
    };
    let method = request.method().clone();
    match method {
        Method::POST => submit(shared, queue, config.max_body_bytes, job, request).await,
        Method::GET => answer_stage(shared, job).await,
        Method::DELETE => cancel(shared, job).await,
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn answer_readiness(shared: &Shared) -> Answer {
    if shared.is_ready() {
        empty(StatusCode::OK)
    } else {
        empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn answer_count(shared: &Shared, queue: &Queue) -> Answer {
    if shared.agent.heartbeat().is_none() {
        return refuse(shared, "no-leader", &queue.name);
    }
    match shared.agent.waiting_in(&queue.name) {
        Some(count) => json(front::encode_waiting(count)),
        None => refuse(shared, "no-counts", &queue.name),
    }
}

async fn submit(
    shared: &Shared,
    queue: &Queue,
    max_body: usize,
    job: Job,
    request: Request<Incoming>,
) -> Answer {
    let body = Limited::new(request.into_body(), max_body).collect().await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::info!("kind=job-invalid job={job} cause={:?}", error.to_string());
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
    };
    let spec = match front::decode(&body) {
        Ok(spec) => spec,
        Err(error) => {
            log::info!("kind=job-invalid job={job} cause={:?}", error.to_string());
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    let accepted = Accepted {
        queue: queue.name.clone(),
        spec,
        at: clock::unix(),
    };
    let started = clock::now();
    let storage = persist::persist(shared, Write::Accept(job, accepted)).await;
    let time = clock::now().since(started);
    shared.instruments.record_submission(storage, time);
    let ms = time.0;
    log::info!(
        "kind=job-submitted job={job} queue={} ms={ms} outcome={storage:?}",
        queue.name
    );
    match storage {
        Storage::Done | Storage::Again => empty(StatusCode::OK),
        Storage::Refused => refuse(shared, "store-refused", &queue.name),
        Storage::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Finds the stage of a job, first from the leader and otherwise from the store. `None` means that
/// the job does not exist.
async fn find_stage(shared: &Shared, job: Job) -> Result<Option<Stage>, store::Error> {
    let timeout = async {
        Timer::after(LEADER_TIMEOUT).await;
        None
    };
    if let Some(Some(stage)) = shared.agent.query_stage(job).or(timeout).await {
        return Ok(Some(stage));
    }
    let key = rows::progress(job);
    let (row, _) = shared.store.row(&key).await?;
    if let Some(row) = row {
        if chunks::is_divided(&row) {
            // The end of a job leaves too little progress for several rows.
            return Ok(Some(Stage::Running));
        }
        match rows::decode::<Progress>(&row) {
            Ok(progress) => return Ok(Some(progress.stage())),
            Err(error) => {
                log::error!(
                    "kind=row-ignored table=progress cause={:?}",
                    error.to_string()
                );
            }
        }
    }
    let key = rows::accepted(job);
    let (row, _) = shared.store.row(&key).await?;
    Ok(row.map(|_| Stage::Queued))
}

async fn answer_stage(shared: &Shared, job: Job) -> Answer {
    match find_stage(shared, job).await {
        Ok(Some(stage)) => json(front::encode_stage(stage)),
        Ok(None) => {
            log::info!("kind=job-missing job={job}");
            empty(StatusCode::GONE)
        }
        Err(error) => {
            log::warn!("kind=stage-unknown job={job} cause={:?}", error.to_string());
            refuse(shared, "stage-unknown", "-")
        }
    }
}

async fn cancel(shared: &Shared, job: Job) -> Answer {
    match find_stage(shared, job).await {
        Ok(Some(Stage::Ended(_))) => return empty(StatusCode::OK),
        Ok(Some(_)) => {}
        Ok(None) => return cancel_unknown(shared, job).await,
        Err(error) => {
            log::warn!(
                "kind=cancel-unknown job={job} cause={:?}",
                error.to_string()
            );
            return refuse(shared, "stage-unknown", "-");
        }
    }
    cancel_known(shared, job).await
}

async fn cancel_known(shared: &Shared, job: Job) -> Answer {
    let storage = persist::persist(shared, Write::Cancel(job)).await;
    log::info!("kind=cancel-submitted job={job} outcome={storage:?}");
    match storage {
        Storage::Done | Storage::Again => empty(StatusCode::OK),
        Storage::Refused => refuse(shared, "store-refused", "-"),
        Storage::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Cancels a job that was not found. Its write may be under way, so the cancellation is stored all
/// the same; a job that is stored after it is cancelled from the start.
async fn cancel_unknown(shared: &Shared, job: Job) -> Answer {
    if !lock(&shared.unknown_cancels).take(clock::now()) {
        return refuse(shared, "unknown-cancels", "-");
    }
    let storage = persist::cancel_unknown(shared, job).await;
    log::info!("kind=cancel-without-job job={job} outcome={storage:?}");
    match storage {
        Storage::Done => empty(StatusCode::GONE),
        Storage::Again => cancel_known(shared, job).await,
        Storage::Refused => refuse(shared, "store-refused", "-"),
        Storage::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn refuse(shared: &Shared, reason: &'static str, queue: &str) -> Answer {
    shared.instruments.record_refusal(reason);
    log::info!("kind=request-refused queue={queue} reason={reason}");
    let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
    let value = http::HeaderValue::from_static(RETRY_AFTER_SECONDS);
    answer.headers_mut().insert(RETRY_AFTER, value);
    answer
}

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn json(body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let value = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}
