#pragma once

/// What a scenario left behind: what callers sent and got, and what the targets logged. Times are
/// microseconds of the machine's monotonic clock.

#include "StandIns/http.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace scenarios {

/// What a caller was told in an error; empty fields where it was told nothing.
struct ToldError
{
    std::string code_;
    std::string run_;
};

/// One request of a caller.
struct CallerRecord
{
    std::string name_;
    std::string entry_;
    /// Name and text of the key; empty where none was sent.
    std::string key_;
    std::string keyText_;
    /// The trace id sent; the targets log it.
    std::string trace_;
    /// Set for completions.
    std::string route_;
    std::string prompt_;
    std::int64_t maxTokens_ = 0;
    bool stream_ = false;
    bool chat_ = false;
    /// Set for plain services.
    std::string method_;
    std::string path_;
    /// Body as sent.
    std::string body_;
    std::string idempotencyKey_;

    std::int64_t sentAt_ = 0;
    std::int64_t endedAt_ = std::numeric_limits<std::int64_t>::max();
    bool ended_ = false;
    standins::CallEnd end_ = standins::CallEnd::NoAnswer;
    unsigned status_ = 0;
    ToldError error_;
    /// The entry was killed or the runner cancelled the request while it was open.
    bool excused_ = false;
    /// The answer's text, joined from its parts, and whether it says that it is whole.
    std::string text_;
    std::int64_t parts_ = 0;
    bool doneSeen_ = false;
    std::string model_;
    /// The whole answer as received.
    std::string raw_;
};

/// One run of a completion on an engine.
struct RunRecord
{
    std::string target_;
    std::string attempt_;
    std::string model_;
    std::string promptDigest_;
    std::string trace_;
    std::int64_t promptTokens_ = 0;
    std::int64_t startedAt_ = 0;
    std::vector<std::int64_t> tokenTimes_;
    /// whole, cancelled, caller_gone or crashed; empty while it runs.
    std::string outcome_;
};

/// One call of a plain service.
struct BookingRecord
{
    std::string target_;
    std::string attempt_;
    std::string method_;
    std::string path_;
    std::string bodyDigest_;
    std::string trace_;
    std::string servedFor_;
    /// False where the service failed without effect.
    bool tookEffect_ = false;
};

struct UnloadRecord
{
    std::string target_;
    std::string adapter_;
    bool inUse_ = false;
};

/// One line of a process's log, in the order of writing; a process that started again goes on in
/// the same log.
struct ProcessEvent
{
    std::string process_;
    std::string event_;
    std::int64_t number_ = 0;
};

/// Text that no key may be in: a target's log, a process's standard error, a store's content.
struct TextRecord
{
    std::string name_;
    std::string text_;
};

struct RouteTerms
{
    std::string route_;
    std::vector<std::string> accounts_;
    bool openToAll_ = false;
    bool idempotent_ = true;
    /// ADAPTER@VERSION; empty for a plain service.
    std::string model_;
    std::string method_;
    std::string pathPrefix_;
};

struct AccountTerms
{
    std::string account_;
    std::int64_t tokensPerSecond_ = 0;
    std::int64_t burstTokens_ = 0;
};

struct KeyTerms
{
    std::string key_;
    std::string account_;
};

/// One accepted revision of the rules. It may apply from appliedAt_ on, and until replacedAt_ at
/// the latest.
struct RulesRecord
{
    std::int64_t appliedAt_ = 0;
    std::int64_t replacedAt_ = std::numeric_limits<std::int64_t>::max();
    std::vector<RouteTerms> routes_;
    std::vector<AccountTerms> accounts_;
    std::vector<KeyTerms> keys_;
};

struct ScenarioRecord
{
    std::vector<CallerRecord> callers_;
    std::vector<RunRecord> runs_;
    std::vector<BookingRecord> bookings_;
    std::vector<UnloadRecord> unloads_;
    std::vector<ProcessEvent> events_;
    std::vector<TextRecord> texts_;
    std::vector<RulesRecord> rules_;
};

/// Takes in a stand-in's log: JSON lines of an engine or a plain service. Lines it doesn't know are
/// left out; a line that isn't JSON is reported.
std::vector<std::string> takeTargetLog(ScenarioRecord &record, const std::string &target,
                                       const std::string &log);

/// Takes in a process's log; lines that are no log lines are left out.
void takeProcessLog(ScenarioRecord &record, const std::string &process, const std::string &log);

/// Reads an answer's text, parts, model and error out of raw_.
void readAnswer(CallerRecord &caller);

/// Digest that targets log for the caller's prompt or body.
std::string workDigest(const CallerRecord &caller);

} // namespace scenarios
