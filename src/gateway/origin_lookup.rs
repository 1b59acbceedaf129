//! Questions to other routers where a stream began, between the traffic thread, which asks, and the
//! control thread, which sends questions and receives answers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::decide::stream_origins::AskedAnswers;
use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamStart;

/// Time after which a question ends with the answers so far. A router that is alive answers within a
/// few ms, one whose host lags within some tens; callers give up a stream after 2 s of silence.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of streams asked for at the same time; a caller beyond it is refused. About as many
/// as the callers of several killed routers bring at once.
const MAX_QUESTIONS: usize = 4_096;

/// A stream that other routers are asked for.
#[derive(Debug, Default)]
struct Question {
    /// Calls that wait for the answer.
    waiting: Vec<oneshot::Sender<AskedAnswers>>,
    /// Routers that were asked and have not answered; `None` until they are asked.
    missing: Option<usize>,
    /// Routers that answered that they have no record.
    without_record: usize,
}

/// The streams that other routers are asked for at the moment.
#[derive(Debug, Default)]
pub struct OriginLookups {
    questions: Mutex<BTreeMap<StreamNumber, Question>>,
    asked: Notify,
}

impl OriginLookups {
    fn questions(&self) -> MutexGuard<'_, BTreeMap<StreamNumber, Question>> {
        let questions = self.questions.lock();
        questions.unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks other routers where a stream began and waits for their answers.
    pub async fn ask(&self, stream: StreamNumber) -> AskedAnswers {
        let (sender, answers) = oneshot::channel();
        {
            let mut questions = self.questions();
            if questions.len() >= MAX_QUESTIONS {
                return AskedAnswers::NoRecord(0);
            }
            questions.entry(stream).or_default().waiting.push(sender);
        }
        self.asked.notify_one();
        match timeout(ANSWER_TIMEOUT, answers).await {
            Ok(Ok(answers)) => answers,
            _ => self.end(stream),
        }
    }

    /// Ends a question that was not answered in time and returns the answers so far.
    fn end(&self, stream: StreamNumber) -> AskedAnswers {
        let question = self.questions().remove(&stream).unwrap_or_default();
        let answers = AskedAnswers::NoRecord(question.without_record);
        question.answer(&answers);
        answers
    }

    /// Waits until a question is to be sent.
    pub async fn wait_until_asked(&self) {
        self.asked.notified().await;
    }

    /// Returns the streams for which no router was asked yet.
    #[must_use]
    pub fn unsent(&self) -> Vec<StreamNumber> {
        let questions = self.questions();
        let unsent = questions
            .iter()
            .filter(|(_, question)| question.missing.is_none());
        unsent.map(|(stream, _)| *stream).collect()
    }

    /// Records how many routers were asked for a stream. Without any, the question ends at once.
    pub fn sent(&self, stream: StreamNumber, routers: usize) {
        let mut questions = self.questions();
        let Some(question) = questions.get_mut(&stream) else {
            return;
        };
        question.missing = Some(routers);
        if routers == 0
            && let Some(question) = questions.remove(&stream)
        {
            question.answer(&AskedAnswers::NoRecord(0));
        }
    }

    /// Records where a stream began according to another router.
    pub fn found(&self, stream: StreamNumber, start: &StreamStart) {
        if let Some(question) = self.questions().remove(&stream) {
            question.answer(&AskedAnswers::Recorded(start.clone()));
        }
    }

    /// Records that another router has no record of a stream.
    pub fn not_found(&self, stream: StreamNumber) {
        let mut questions = self.questions();
        let Some(question) = questions.get_mut(&stream) else {
            return;
        };
        question.without_record += 1;
        let missing = question
            .missing
            .map_or(0, |missing| missing.saturating_sub(1));
        question.missing = Some(missing);
        if missing == 0
            && let Some(question) = questions.remove(&stream)
        {
            let answers = AskedAnswers::NoRecord(question.without_record);
            question.answer(&answers);
        }
    }
}

impl Question {
    fn answer(self, answers: &AskedAnswers) {
        for waiting in self.waiting {
            // A caller that left does not wait any more.
            let _ = waiting.send(answers.clone());
        }
    }
}
