#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view usagePrefix = "eelgrasscove/usage/";
constexpr Duration callTimeout = 1500ms;
constexpr Duration retryPause = 300ms;

std::map<std::string, UsageParts> partsOf(const UsageRecord &record)
{
    std::map<std::string, UsageParts> parts;
    for (const AccountUsageParts &account : record.accounts_) {
        UsageParts &out = parts[account.account_];
        std::copy_n(account.tokens_.begin(), std::min(account.tokens_.size(), out.size()),
                    out.begin());
    }
    return parts;
}

} // namespace

void Edge::readUsage()
{
    wire::StoreCall call = wire::readCall(std::string(usagePrefix) + settings_.vm_);
    usageCaller_->call(
        std::move(call.method_), std::move(call.target_), "", callTimeout,
        [this](std::optional<HttpAnswer> answer) {
            if (!answer || (answer->status_ != 200 && answer->status_ != 404)) {
                loop_.timers().once(retryPause, [this] { readUsage(); });
                return;
            }
            std::map<std::string, UsageParts> parts;
            if (answer->status_ == 200) {
                const auto item = wire::decodeItem(answer->body_);
                const auto message = item ? decodePeerMessage(item->value_) : std::nullopt;
                const auto *record = message ? std::get_if<UsageRecord>(&*message) : nullptr;
                if (record != nullptr)
                    parts = partsOf(*record);
                else
                    eventLog().note("usage.unreadable", "bytes", answer->body_.size());
            }
            restoreUsage(allowance_, parts, bootNow());
            eventLog().note("usage.restored", "accounts", parts.size());
        });
}

void Edge::writeUsage(Time now)
{
    if (!rules_ || !allowance_.restoredAt_ || usageCaller_->pending() > 0
        || !usageMoved(allowance_, writtenUsage_, usageWrittenAt_, rules_->rules().accounts_, now))
        return;
    const std::map<std::string, UsageParts> parts = usageParts(allowance_, now);
    usageWrittenAt_ = now;
    UsageRecord record;
    for (const auto &[account, tokens] : parts)
        record.accounts_.push_back({account, {tokens.begin(), tokens.end()}});
    wire::StoreCall call =
        wire::writeCall(std::string(usagePrefix) + settings_.vm_, encodePeerMessage(record), 0);
    countMetric("eelgrasscove_store_calls_total", "call=\"txn\"");
    usageCaller_->call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                       callTimeout, [this, parts](std::optional<HttpAnswer> answer) {
                           if (answer && answer->status_ == 200)
                               writtenUsage_ = parts;
                           else
                               eventLog().note("usage.not_written", "status",
                                               answer ? answer->status_ : 0);
                       });
}

} // namespace eelgrasscove
