//! How the backend answers requests.

use smoltcp::time::Instant;

use super::connection::{Connection, Stage};
use super::host::BackendHost;
use super::services::WrongService;
use super::work::{Admission, ConnectionId, WorkEvent};
use crate::http::{self, NOT_RUN, RequestHead, ResponseHead};

/// Feed bytes that may wait for a slow reader before the feed pauses.
const FEED_BACKLOG_LIMIT: usize = 64 * 1024;

impl BackendHost {
    /// Goes on with the exchange on a connection.
    pub(super) fn advance_stage(
        &mut self,
        id: ConnectionId,
        connection: &mut Connection,
        now: Instant,
    ) {
        if matches!(connection.stage, Stage::Head) {
            self.read_head(id, connection, now);
        }
        if matches!(connection.stage, Stage::Body { .. }) {
            self.read_body(connection);
        }
        if matches!(connection.stage, Stage::Feed { .. }) {
            feed_due_lines(connection, now);
        }
    }

    fn read_head(&mut self, id: ConnectionId, connection: &mut Connection, now: Instant) {
        if connection.input.is_empty() {
            return;
        }
        match http::parse_request(&connection.input) {
            Ok(None) => {}
            Ok(Some(head)) => {
                connection.input.drain(..head.size);
                self.start_request(id, connection, head, now);
            }
            Err(error) => {
                self.report.bad_requests += 1;
                let answer = self.answer(400, "", &format!("{NOT_RUN}: {error}\n"));
                connection.answer(&answer);
            }
        }
    }

    fn start_request(
        &mut self,
        id: ConnectionId,
        connection: &mut Connection,
        head: RequestHead,
        now: Instant,
    ) {
        if let Err(wrong) = self.services.ask(id, &head.host) {
            return self.refuse_service(connection, &head, &wrong);
        }
        if head.id.is_empty() {
            self.report.bad_requests += 1;
            return connection.answer(&self.answer(
                400,
                &head.host,
                &format!("{NOT_RUN}: no id\n"),
            ));
        }
        match (head.method.as_str(), head.path.as_str()) {
            ("GET", "/feed") => self.start_feed(connection, head, now),
            ("POST", "/payment" | "/check") => self.start_work(id, connection, head, now),
            ("POST", "/upload") => start_upload(connection, head),
            _ => {
                self.report.bad_requests += 1;
                connection.answer(&self.answer(
                    404,
                    &head.host,
                    &format!("{NOT_RUN}: no such path\n"),
                ));
            }
        }
    }

    fn refuse_service(
        &mut self,
        connection: &mut Connection,
        head: &RequestHead,
        wrong: &WrongService,
    ) {
        self.report.record_wrong_service(wrong.to_string());
        let body = format!("{NOT_RUN}: {wrong}\n");
        connection.answer(&self.answer(421, &head.host, &body));
    }

    fn start_feed(&mut self, connection: &mut Connection, head: RequestHead, now: Instant) {
        self.report.record_run(&head.id);
        let response = ResponseHead {
            status: 200,
            service: &head.host,
            backend: &self.settings.name,
        };
        connection.write(&response.chunked());
        connection.stage = Stage::Feed {
            head,
            sequence: 0,
            due: now,
        };
    }

    fn start_work(
        &mut self,
        id: ConnectionId,
        connection: &mut Connection,
        head: RequestHead,
        now: Instant,
    ) {
        let deadline = head.deadline.map(|time| now + time);
        match self.work.admit(id, deadline) {
            Admission::Queued => connection.stage = Stage::Working { head },
            Admission::Shed => {
                self.report.shed += 1;
                let body = format!("{NOT_RUN}: no slot for {}\n", head.id);
                connection.answer(&self.answer(503, &head.host, &body));
            }
        }
    }

    fn read_body(&mut self, connection: &mut Connection) {
        let Stage::Body {
            head,
            received,
            hasher,
        } = &mut connection.stage
        else {
            return;
        };
        let wanted = head.content_length - *received;
        let taken = usize::try_from(wanted).map_or(connection.input.len(), |wanted| {
            wanted.min(connection.input.len())
        });
        hasher.update(&connection.input[..taken]);
        connection.input.drain(..taken);
        *received += taken as u64;
        if *received < head.content_length {
            return;
        }
        let hash = hasher.finalize().to_hex();
        let body = http::hash_line(&head.id, *received, hash.as_str());
        let answer = self.answer(200, &head.host, &body);
        self.report.record_run(&head.id);
        connection.answer(&answer);
    }

    /// Starts and ends the work that is due.
    pub(super) fn advance_work(&mut self, now: Instant) {
        let work_time = self.work_time(now);
        for event in self.work.advance(now, work_time) {
            match event {
                WorkEvent::Started(id) => self.record_started(id),
                WorkEvent::Finished(id) => self.answer_work(id, |host, head| {
                    host.answer(200, &head.host, &http::payment_line(&head.id))
                }),
                WorkEvent::Expired(id) => self.expire_work(id),
            }
        }
    }

    fn record_started(&mut self, id: ConnectionId) {
        let connection = self.connections.get(&id);
        if let Some(Stage::Working { head }) = connection.map(|connection| &connection.stage) {
            self.report.record_run(&head.id);
        }
    }

    fn expire_work(&mut self, id: ConnectionId) {
        self.report.expired += 1;
        self.answer_work(id, |host, head| {
            let body = format!("{NOT_RUN}: the deadline of {} has passed\n", head.id);
            host.answer(504, &head.host, &body)
        });
    }

    fn answer_work(
        &mut self,
        id: ConnectionId,
        answer: impl FnOnce(&Self, &RequestHead) -> Vec<u8>,
    ) {
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        if let Stage::Working { head } = &connection.stage {
            let bytes = answer(self, head);
            connection.answer(&bytes);
            connection.flush(self.stack.tcp(connection.handle));
        }
        self.connections.insert(id, connection);
    }

    fn answer(&self, status: u16, service: &str, body: &str) -> Vec<u8> {
        let backend = &self.settings.name;
        let head = ResponseHead {
            status,
            service,
            backend,
        };
        head.with_body(body)
    }
}

fn start_upload(connection: &mut Connection, head: RequestHead) {
    connection.stage = Stage::Body {
        head,
        received: 0,
        hasher: Box::default(),
    };
}

fn feed_due_lines(connection: &mut Connection, now: Instant) {
    let mut lines = Vec::new();
    let backlog = connection.backlog();
    let Stage::Feed {
        head,
        sequence,
        due,
    } = &mut connection.stage
    else {
        return;
    };
    while *due <= now && *sequence < head.count && backlog + lines.len() < FEED_BACKLOG_LIMIT {
        lines.extend(http::chunk(&http::feed_line(&head.id, *sequence)));
        *sequence += 1;
        *due += head.interval;
    }
    let is_complete = *sequence >= head.count;
    connection.write(&lines);
    if is_complete {
        connection.answer(http::last_chunk());
    }
}
