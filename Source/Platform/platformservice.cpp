#include "Platform/platformservice.h"

#include "Observe/log.h"
#include "Platform/completelines.h"
#include "Platform/etcdjson.h"
#include "Platform/httpclient.h"
#include "Platform/kvcall.h"
#include "Platform/rulehead.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <fmt/core.h>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t queuedOperations = 1024;
constexpr std::uint32_t httpOk = 200;

/// A line of the watch holds the changes of one revision: the head, and marks of drained VMs.
constexpr std::size_t mostWatchLineBytes = 16ULL * 1024 * 1024;

/// Time after which an event that was refused is offered again.
constexpr Duration offerAgainAfter = 1ms;

/// The head is read so often even while the watch is up, as a watch can die without a sign.
constexpr Duration rereadPeriod = 10s;

constexpr Duration leastBackoff = 100ms;
constexpr Duration mostBackoff = 5s;

/// First calls are spread over so long, so that processes started together don't call together.
constexpr Duration startSpread = 50ms;

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

struct PlatformService::Impl
{
    PlatformSettings settings_;
    Deliver deliver_;
    HttpClient client_;
    std::atomic<std::size_t> queued_ = 0;
    std::mt19937_64 random_{std::random_device()()};

    std::deque<PlatformEvent> outbox_;
    bool flushing_ = false;
    std::optional<bool> reachable_;

    std::optional<VmList> list_;
    Duration listPeriod_{};
    std::set<std::string> drained_;

    bool watching_ = true;
    /// A refresh that was scheduled under an earlier number is dropped.
    std::uint64_t refreshNumber_ = 0;
    Duration backoff_ = leastBackoff;
    /// 0 where none is open.
    std::uint64_t stream_ = 0;
    /// The watch's line that is not complete yet.
    std::string watchText_;

    Revision delivered_;
    /// The revision whose chunks are being read, and what has been read of it.
    std::optional<RuleRecord> fetching_;
    std::vector<KvPair> chunks_;
    std::optional<RuleRecord> newest_;

    Duration between(Duration least, Duration most)
    {
        std::uniform_int_distribution<std::int64_t> spread(least.count(), most.count());
        return Duration(spread(random_));
    }

    // Events.

    template <class Event>
    void emit(Event event)
    {
        outbox_.emplace_back(std::move(event));
        if (!flushing_)
            flush();
    }

    void flush()
    {
        flushing_ = false;
        while (!outbox_.empty()) {
            const bool isOutcome = std::holds_alternative<KvOutcome>(outbox_.front());
            if (!deliver_(std::move(outbox_.front()))) {
                flushing_ = true;
                client_.after(offerAgainAfter, [this] { flush(); });
                return;
            }
            outbox_.pop_front();
            if (isOutcome)
                queued_ -= 1;
        }
    }

    void noteReachable(bool reachable)
    {
        if (reachable_ == reachable)
            return;
        reachable_ = reachable;
        emit(PlatformReachable{reachable});
    }

    // The list of VMs.

    void pollVms()
    {
        HttpCall call;
        call.method_ = "GET";
        call.url_ = settings_.vmListUrl_;
        call.timeout_ = settings_.callTimeout_;
        call.repeatable_ = true;
        client_.call(std::move(call), [this](const HttpReply &reply) { takeVmReply(reply); });
    }

    void takeVmReply(const HttpReply &reply)
    {
        const bool replied = reply.end_ == HttpEnd::Replied && reply.status_ == httpOk;
        noteReachable(replied);
        if (replied)
            takeVmList(reply.body_);
        const Duration period = listPeriod_;
        client_.after(between(period * 9 / 10, period * 11 / 10), [this] { pollVms(); });
    }

    void takeVmList(const std::string &body)
    {
        Result<VmList, EtcdError> list = decodeVmList(body);
        if (!ok(list)) {
            logEvent(LogLevel::Warning, "vm_list_malformed", {{"error", errorOf(list).message_}});
            return;
        }
        list_ = valueOf(std::move(list));
        emitVmList();
    }

    void emitVmList()
    {
        if (!list_)
            return;
        VmList list = *list_;
        for (ListedVm &vm : list.vms_) {
            vm.drained_ = drained_.contains(vm.vm_.text_);
            vm.leaving_ = vm.leaving_ || vm.drained_;
        }
        // Only the newest reading is worth waiting for the receiver.
        std::erase_if(outbox_, [this](const PlatformEvent &event) {
            return std::holds_alternative<VmList>(event) && &event != &outbox_.front();
        });
        emit(std::move(list));
    }

    // The rules: read, then watched from the reading on.

    void scheduleRefresh(Duration wait)
    {
        refreshNumber_ += 1;
        client_.after(wait, [this, number = refreshNumber_] {
            if (number == refreshNumber_ && watching_)
                refresh();
        });
    }

    void scheduleRetry()
    {
        scheduleRefresh(between(backoff_ / 2, backoff_));
        backoff_ = std::min(backoff_ * 2, mostBackoff);
    }

    void refresh()
    {
        KvOperation operation;
        operation.reads_ = {{ruleHeadKey, false}, {drainPrefix, true}};
        read(operation, [this](const KvOutcome &outcome) { takeRefresh(outcome); });
    }

    template <class OnOutcome>
    void read(const KvOperation &operation, OnOutcome onOutcome)
    {
        HttpCall call = httpCallOf(operation, settings_);
        client_.call(std::move(call), [this, operation, onOutcome](const HttpReply &reply) {
            const KvOutcome outcome = outcomeOf(operation, settings_.prefix_, reply);
            noteReachable(reply.end_ == HttpEnd::Replied);
            onOutcome(outcome);
        });
    }

    void takeRefresh(const KvOutcome &outcome)
    {
        if (!watching_) {
            takeSingleReading(outcome);
            return;
        }
        if (outcome.status_ != KvStatus::Succeeded) {
            closeWatch();
            scheduleRetry();
            return;
        }
        backoff_ = leastBackoff;
        const std::optional<RuleRecord> known = newest_;
        std::set<std::string> drained;
        for (const KvPair &pair : outcome.reads_) {
            if (pair.key_ == ruleHeadKey) {
                takeHead(pair.value_);
            } else {
                drained.insert(drainedVm(pair.key_));
            }
        }
        takeDrained(std::move(drained));
        const bool watchMissedIt = known && newest_->revision_ > known->revision_;
        if (watchMissedIt)
            closeWatch();
        if (stream_ == 0)
            openWatch(outcome.revision_ + 1);
        scheduleRefresh(between(rereadPeriod / 2, rereadPeriod));
    }

    /// A reading that was asked for once; whoever asked asks again where it fails.
    void takeSingleReading(const KvOutcome &outcome)
    {
        for (const KvPair &pair : outcome.reads_) {
            if (pair.key_ == ruleHeadKey)
                takeHead(pair.value_);
        }
    }

    static std::string drainedVm(const std::string &key)
    {
        return key.substr(std::string_view(drainPrefix).size());
    }

    void takeDrained(std::set<std::string> drained)
    {
        if (drained == drained_)
            return;
        drained_ = std::move(drained);
        emitVmList();
    }

    void openWatch(std::int64_t startRevision)
    {
        HttpCall call;
        call.url_ = settings_.keyValueUrl_ + "/v3/watch";
        // The drain marks sort before the head, and nothing else lies between.
        const KeyInterval interval{drainPrefix, endOfPrefix(ruleHeadKey)};
        call.body_ = encodeWatch(interval, startRevision, settings_.prefix_);
        call.timeout_ = settings_.callTimeout_;
        watchText_.clear();
        // The id is known only after the call, but the callbacks run on this thread later.
        const auto opened = std::make_shared<std::uint64_t>(0);
        *opened = client_.openStream(
            std::move(call),
            [this, opened](std::string_view part) {
                if (*opened == stream_)
                    takeWatchText(part);
            },
            [this, opened](const std::string &error) {
                if (*opened == stream_)
                    loseWatch(error);
            });
        stream_ = *opened;
    }

    void closeWatch()
    {
        if (stream_ != 0)
            client_.closeStream(std::exchange(stream_, 0));
    }

    void loseWatch(const std::string &error)
    {
        stream_ = 0;
        logEvent(LogLevel::Info, "rules_watch_lost", {{"error", error}});
        scheduleRetry();
    }

    void takeWatchText(std::string_view part)
    {
        const std::optional<std::vector<std::string>> lines =
            completeLines(watchText_, part, mostWatchLineBytes);
        if (!lines) {
            closeWatch();
            loseWatch(fmt::format("a line exceeds {} bytes", mostWatchLineBytes));
            return;
        }
        for (const std::string &line : *lines) {
            if (stream_ != 0)
                takeWatchLine(line);
        }
    }

    void takeWatchLine(const std::string &line)
    {
        if (line.empty())
            return;
        const Result<WatchLine, EtcdError> watch = decodeWatchLine(line, settings_.prefix_);
        if (!ok(watch) || valueOf(watch).cancelled_) {
            closeWatch();
            loseWatch(ok(watch) ? "cancelled by the service" : errorOf(watch).message_);
            return;
        }
        std::set<std::string> drained = drained_;
        for (const std::string &key : valueOf(watch).deleted_)
            drained.erase(startsWith(key, drainPrefix) ? drainedVm(key) : "");
        for (const KvPair &pair : valueOf(watch).written_) {
            if (pair.key_ == ruleHeadKey) {
                takeHead(pair.value_);
            } else if (startsWith(pair.key_, drainPrefix)) {
                drained.insert(drainedVm(pair.key_));
            }
        }
        takeDrained(std::move(drained));
    }

    void takeHead(const std::string &value)
    {
        const Result<RuleHead, RuleHeadError> head = decodeRuleHead(value);
        const RuleRecord *newest = ok(head) ? newestRecord(valueOf(head)) : nullptr;
        if (newest == nullptr) {
            logEvent(LogLevel::Error, "rules_head_malformed",
                     {{"error", ok(head) ? "no records" : errorOf(head).message_}});
            return;
        }
        if (newest_ && newest->revision_ < newest_->revision_) {
            logEvent(LogLevel::Warning, "rules_head_older",
                     {{"revision", std::to_string(newest->revision_.value_)}});
            return;
        }
        newest_ = *newest;
        fetchNewest();
    }

    void fetchNewest()
    {
        if (fetching_ || !newest_ || newest_->revision_ <= delivered_)
            return;
        fetching_ = newest_;
        chunks_.clear();
        fetchChunk();
    }

    void fetchChunk()
    {
        if (chunks_.size() == fetching_->chunks_) {
            finishFetch();
            return;
        }
        KvOperation operation;
        operation.reads_ = {{chunkKey(*fetching_, chunks_.size()), false}};
        read(operation, [this](const KvOutcome &outcome) {
            if (outcome.status_ != KvStatus::Succeeded || outcome.reads_.size() != 1) {
                fetching_.reset();
                scheduleRetry();
                return;
            }
            chunks_.push_back(outcome.reads_.front());
            fetchChunk();
        });
    }

    void finishFetch()
    {
        Result<std::string, RuleHeadError> text = joinChunks(*fetching_, chunks_);
        const Revision revision = fetching_->revision_;
        fetching_.reset();
        chunks_.clear();
        if (!ok(text)) {
            logEvent(LogLevel::Error, "rules_malformed", {{"error", errorOf(text).message_}});
            scheduleRetry();
            return;
        }
        delivered_ = revision;
        emit(StoredRules{revision, valueOf(std::move(text))});
        fetchNewest();
    }

    void setWatching(bool watching)
    {
        if (watching_ == watching)
            return;
        watching_ = watching;
        closeWatch();
        if (watching) {
            scheduleRefresh(Duration(0));
        } else {
            // Marks that are no longer followed would keep a VM drained for good.
            takeDrained({});
        }
    }

    void begin()
    {
        client_.after(between(Duration(0), startSpread), [this] { pollVms(); });
        client_.after(between(Duration(0), startSpread), [this] { scheduleRefresh(Duration(0)); });
    }
};

PlatformService::PlatformService(PlatformSettings settings, Deliver deliver)
    : impl_(std::make_unique<Impl>())
{
    impl_->settings_ = std::move(settings);
    impl_->listPeriod_ = impl_->settings_.vmListPeriod_;
    impl_->deliver_ = std::move(deliver);
}

PlatformService::~PlatformService()
{
    stop();
}

void PlatformService::start()
{
    // Everything but submit() happens on the client's thread.
    impl_->client_.after(Duration(0), [impl = impl_.get()] { impl->begin(); });
    impl_->client_.start();
}

void PlatformService::stop()
{
    impl_->client_.stop();
}

void PlatformService::setWatching(bool watching)
{
    impl_->client_.after(Duration(0),
                         [impl = impl_.get(), watching] { impl->setWatching(watching); });
}

void PlatformService::setVmListPeriod(Duration period)
{
    impl_->client_.after(Duration(0), [impl = impl_.get(), period] { impl->listPeriod_ = period; });
}

void PlatformService::readRules()
{
    impl_->client_.after(Duration(0), [impl = impl_.get()] { impl->refresh(); });
}

bool PlatformService::submit(KvOperation operation)
{
    if (impl_->queued_.fetch_add(1) >= queuedOperations) {
        impl_->queued_ -= 1;
        return false;
    }
    HttpCall call = httpCallOf(operation, impl_->settings_);
    impl_->client_.call(
        std::move(call),
        [impl = impl_.get(), operation = std::move(operation)](const HttpReply &reply) {
            impl->noteReachable(reply.end_ == HttpEnd::Replied);
            impl->emit(outcomeOf(operation, impl->settings_.prefix_, reply));
        });
    return true;
}

} // namespace eelgrasscove
