#include "StandIns/platform.h"

#include "StandIns/base64.h"
#include "StandIns/keyvalue.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace standins {

using Json = nlohmann::json;

namespace {

constexpr Micros leaseCheckPeriod = std::chrono::milliseconds(50);
constexpr std::int64_t microsPerMilli = 1000;

/// A call that can't be understood; never leaves this file.
struct BadCall : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// A field under its protobuf name or its camel-case form.
const Json *findField(const Json &object, const std::string &name)
{
    if (const auto found = object.find(name); found != object.end())
        return &*found;
    std::string camel;
    bool raise = false;
    for (const char letter : name) {
        if (letter == '_') {
            raise = true;
            continue;
        }
        camel += raise && letter >= 'a' && letter <= 'z' ? static_cast<char>(letter - 'a' + 'A')
                                                         : letter;
        raise = false;
    }
    const auto found = object.find(camel);
    return found == object.end() ? nullptr : &*found;
}

std::int64_t integerField(const Json &object, const std::string &name)
{
    const Json *field = findField(object, name);
    if (field == nullptr)
        return 0;
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    if (!field->is_string())
        throw BadCall(name + " must be an integer");
    const auto &text = field->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || stop != text.data() + text.size())
        throw BadCall(name + " must be an integer");
    return number;
}

bool flagField(const Json &object, const std::string &name)
{
    const Json *field = findField(object, name);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

std::string bytesField(const Json &object, const std::string &name)
{
    const Json *field = findField(object, name);
    if (field == nullptr)
        return {};
    if (!field->is_string())
        throw BadCall(name + " must be base64");
    auto bytes = decodeBase64(field->get_ref<const std::string &>());
    if (!bytes)
        throw BadCall(name + " must be base64");
    return *bytes;
}

/// An enum's number, given as its name or its number.
template <std::size_t Size>
std::size_t enumField(const Json &object, const std::string &name,
                      const std::array<std::string_view, Size> &names)
{
    const Json *field = findField(object, name);
    if (field == nullptr)
        return 0;
    if (field->is_number_unsigned() && field->get<std::size_t>() < Size)
        return field->get<std::size_t>();
    for (std::size_t index = 0; index < Size; ++index) {
        if (field->is_string() && field->get_ref<const std::string &>() == names[index])
            return index;
    }
    throw BadCall(name + " isn't supported");
}

constexpr std::array<std::string_view, 4> compareTargetNames = {"VERSION", "CREATE", "MOD",
                                                                "VALUE"};
constexpr std::array<std::string_view, 4> compareResultNames = {"EQUAL", "GREATER", "LESS",
                                                                "NOT_EQUAL"};

Compare parseCompare(const Json &call)
{
    Compare compare;
    compare.key_ = bytesField(call, "key");
    compare.target_ = static_cast<CompareTarget>(enumField(call, "target", compareTargetNames));
    compare.result_ = static_cast<CompareResult>(enumField(call, "result", compareResultNames));
    switch (compare.target_) {
    case CompareTarget::Version:
        compare.number_ = integerField(call, "version");
        break;
    case CompareTarget::Create:
        compare.number_ = integerField(call, "create_revision");
        break;
    case CompareTarget::Mod:
        compare.number_ = integerField(call, "mod_revision");
        break;
    case CompareTarget::Value:
        compare.value_ = bytesField(call, "value");
        break;
    }
    return compare;
}

StoreOperation parseOperation(const Json &call, StoreOperationKind kind)
{
    StoreOperation operation;
    operation.kind_ = kind;
    operation.range_.key_ = bytesField(call, "key");
    operation.range_.end_ = bytesField(call, "range_end");
    operation.value_ = bytesField(call, "value");
    operation.lease_ = integerField(call, "lease");
    operation.limit_ = integerField(call, "limit");
    operation.keysOnly_ = flagField(call, "keys_only");
    operation.countOnly_ = flagField(call, "count_only");
    return operation;
}

std::vector<StoreOperation> parseOperations(const Json &call, const std::string &name)
{
    std::vector<StoreOperation> operations;
    const Json *list = findField(call, name);
    if (list == nullptr)
        return operations;
    for (const Json &item : *list) {
        if (const Json *range = findField(item, "request_range")) {
            operations.push_back(parseOperation(*range, StoreOperationKind::Range));
        } else if (const Json *put = findField(item, "request_put")) {
            operations.push_back(parseOperation(*put, StoreOperationKind::Put));
        } else if (const Json *erase = findField(item, "request_delete_range")) {
            operations.push_back(parseOperation(*erase, StoreOperationKind::Delete));
        } else {
            throw BadCall("unknown request in txn");
        }
    }
    return operations;
}

StoreTransaction parseTransaction(const Json &call)
{
    StoreTransaction transaction;
    if (const Json *compares = findField(call, "compare")) {
        for (const Json &compare : *compares)
            transaction.compares_.push_back(parseCompare(compare));
    }
    transaction.success_ = parseOperations(call, "success");
    transaction.failure_ = parseOperations(call, "failure");
    return transaction;
}

/// A transaction of one operation without conditions.
StoreTransaction singleOperation(const Json &call, StoreOperationKind kind)
{
    StoreTransaction transaction;
    transaction.success_.push_back(parseOperation(call, kind));
    return transaction;
}

Json headerJson(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

Json entryJson(const KvEntry &entry)
{
    Json json = {{"key", encodeBase64(entry.key_)},
                 {"mod_revision", std::to_string(entry.modRevision_)}};
    if (entry.version_ == 0)
        return json;
    json["create_revision"] = std::to_string(entry.createRevision_);
    json["version"] = std::to_string(entry.version_);
    json["value"] = encodeBase64(entry.value_);
    if (entry.lease_ != 0)
        json["lease"] = std::to_string(entry.lease_);
    return json;
}

Json outcomeJson(const StoreOutcome &outcome, std::int64_t revision)
{
    Json json = {{"header", headerJson(revision)}};
    if (outcome.kind_ == StoreOperationKind::Put)
        return json;
    if (outcome.kind_ == StoreOperationKind::Delete) {
        json["deleted"] = std::to_string(outcome.count_);
        return json;
    }
    json["count"] = std::to_string(outcome.count_);
    if (outcome.more_)
        json["more"] = true;
    if (outcome.entries_.empty())
        return json;
    for (const KvEntry &entry : outcome.entries_)
        json["kvs"].push_back(entryJson(entry));
    return json;
}

const char *responseName(StoreOperationKind kind)
{
    switch (kind) {
    case StoreOperationKind::Put:
        return "response_put";
    case StoreOperationKind::Delete:
        return "response_delete_range";
    case StoreOperationKind::Range:
        break;
    }
    return "response_range";
}

Json transactionJson(const TransactionOutcome &outcome, std::int64_t revision)
{
    Json json = {{"header", headerJson(revision)}, {"responses", Json::array()}};
    if (outcome.succeeded_)
        json["succeeded"] = true;
    for (const StoreOutcome &part : outcome.outcomes_)
        json["responses"].push_back({{responseName(part.kind_), outcomeJson(part, revision)}});
    return json;
}

HttpResponse errorResponse(unsigned status, int code, const std::string &message)
{
    const Json json = {{"error", message}, {"code", code}, {"message", message}};
    return {.status_ = status, .body_ = json.dump()};
}

HttpResponse jsonResponse(const Json &json)
{
    return {.body_ = json.dump()};
}

HttpResponse storeErrorResponse(const std::string &message)
{
    constexpr int invalidArgument = 3;
    constexpr int notFound = 5;
    const bool missing = message.find("not found") != std::string::npos;
    return errorResponse(missing ? 404 : 400, missing ? notFound : invalidArgument, message);
}

enum class PlatformMode {
    Up,
    Down,
    Slow,
};

struct Counters
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t listReads_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t droppedReplies_ = 0;
};

struct Watch
{
    KeyRange range_;
    std::size_t nextEvent_ = 0;
    ExchangePtr exchange_;
};

/// What a call answered, and whether it changed anything.
struct CallOutcome
{
    HttpResponse response_;
    bool wrote_ = false;
};

/// The VM list from a point in time on.
struct DatedList
{
    std::int64_t atMicros_ = 0;
    Json vms_ = Json::array();
};

std::string checkVms(const Json &vms)
{
    if (!vms.is_array())
        return "the VM list must be a JSON array";
    for (const Json &vm : vms) {
        for (const char *name : {"name", "region", "data_centre", "role", "address"}) {
            if (!vm.is_object() || !vm.contains(name) || !vm[name].is_string())
                return fmt::format("a VM lacks the text field \"{}\"", name);
        }
    }
    return {};
}

bool writes(const StoreTransaction &transaction)
{
    const auto isWrite = [](const StoreOperation &operation) {
        return operation.kind_ != StoreOperationKind::Range;
    };
    const auto &success = transaction.success_;
    const auto &failure = transaction.failure_;
    return std::any_of(success.begin(), success.end(), isWrite)
        || std::any_of(failure.begin(), failure.end(), isWrite);
}

} // namespace

struct Platform::Impl
{
    EventLoop &loop_;
    KeyValueStore store_;
    /// The store at the moment that stale reads see.
    KeyValueStore remembered_;
    bool staleReads_ = false;
    PlatformMode mode_ = PlatformMode::Up;
    std::int64_t delayMillis_ = 0;
    std::int64_t listLagMillis_ = 0;
    std::int64_t dropReplies_ = 0;
    Counters counters_;
    std::vector<Watch> watches_;
    std::deque<DatedList> lists_;

    void tick()
    {
        expireLeases(store_, monotonicMicros());
        feedWatches();
        loop_.after(leaseCheckPeriod, [this] { tick(); });
    }

    std::string setVms(const Json &given)
    {
        const Json vms = given.is_object() && given.contains("vms") ? given["vms"] : given;
        std::string error = checkVms(vms);
        if (error.empty())
            lists_.push_back({monotonicMicros(), vms});
        return error;
    }

    Json listedVms()
    {
        const std::int64_t seenAt = monotonicMicros() - listLagMillis_ * microsPerMilli;
        // The first list is there from the start.
        while (lists_.size() > 1 && lists_[1].atMicros_ <= seenAt)
            lists_.pop_front();
        return lists_.empty() ? Json::array() : lists_.front().vms_;
    }

    CallOutcome runStore(const StoreTransaction &transaction, bool whole)
    {
        KeyValueStore &store = staleReads_ && !writes(transaction) ? remembered_ : store_;
        const TransactionOutcome outcome = runTransaction(store, transaction);
        if (!outcome.error_.empty())
            return {storeErrorResponse(outcome.error_), false};
        if (whole)
            return {jsonResponse(transactionJson(outcome, store.revision_)), outcome.wrote_};
        return {jsonResponse(outcomeJson(outcome.outcomes_.front(), store.revision_)),
                outcome.wrote_};
    }

    void countTransaction(const StoreTransaction &transaction)
    {
        if (writes(transaction))
            counters_.writes_ += 1;
        else
            counters_.reads_ += 1;
    }

    std::optional<CallOutcome> storeCall(std::string_view path, const Json &call)
    {
        StoreTransaction transaction;
        if (path == "/v3/kv/range") {
            transaction = singleOperation(call, StoreOperationKind::Range);
        } else if (path == "/v3/kv/put") {
            transaction = singleOperation(call, StoreOperationKind::Put);
        } else if (path == "/v3/kv/deleterange") {
            transaction = singleOperation(call, StoreOperationKind::Delete);
        } else if (path == "/v3/kv/txn") {
            transaction = parseTransaction(call);
        } else {
            return std::nullopt;
        }
        countTransaction(transaction);
        return runStore(transaction, path == "/v3/kv/txn");
    }

    CallOutcome grant(const Json &call)
    {
        const std::int64_t ttl = std::max<std::int64_t>(1, integerField(call, "TTL"));
        const auto id = grantLease(store_, integerField(call, "ID"), ttl, monotonicMicros());
        if (!id)
            return {errorResponse(400, 9, "etcdserver: lease already exists"), false};
        const Json json = {{"header", headerJson(store_.revision_)},
                           {"ID", std::to_string(*id)},
                           {"TTL", std::to_string(ttl)}};
        return {jsonResponse(json), true};
    }

    CallOutcome revoke(const Json &call)
    {
        if (!revokeLease(store_, integerField(call, "ID")))
            return {storeErrorResponse("etcdserver: requested lease not found"), false};
        return {jsonResponse({{"header", headerJson(store_.revision_)}}), true};
    }

    CallOutcome keepAlive(const Json &call)
    {
        const std::int64_t id = integerField(call, "ID");
        const std::int64_t ttl = keepLeaseAlive(store_, id, monotonicMicros());
        Json json = {{"header", headerJson(store_.revision_)}, {"ID", std::to_string(id)}};
        if (ttl > 0)
            json["TTL"] = std::to_string(ttl);
        return {{.body_ = Json({{"result", json}}).dump() + "\n"}, false};
    }

    std::optional<CallOutcome> leaseCall(std::string_view path, const Json &call)
    {
        counters_.writes_ += 1;
        expireLeases(store_, monotonicMicros());
        if (path == "/v3/lease/grant")
            return grant(call);
        if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke")
            return revoke(call);
        if (path == "/v3/lease/keepalive")
            return keepAlive(call);
        counters_.writes_ -= 1;
        return std::nullopt;
    }

    std::optional<CallOutcome> answer(const HttpRequest &request)
    {
        const std::string_view path = pathOf(request);
        if (path == "/vms" && request.method_ == "GET") {
            counters_.listReads_ += 1;
            return CallOutcome{jsonResponse({{"vms", listedVms()}}), false};
        }
        if (request.method_ != "POST")
            return std::nullopt;
        const Json call = Json::parse(request.body_, nullptr, false);
        if (!call.is_object())
            throw BadCall("the body must be a JSON object");
        if (auto outcome = storeCall(path, call))
            return outcome;
        return leaseCall(path, call);
    }

    void reply(const CallOutcome &outcome, const ExchangePtr &exchange)
    {
        const bool drop = outcome.wrote_ && dropReplies_ > 0;
        if (drop) {
            dropReplies_ -= 1;
            counters_.droppedReplies_ += 1;
        }
        const auto finish = [exchange, drop, response = outcome.response_] {
            if (drop) {
                exchange->close();
            } else {
                exchange->send(response);
            }
        };
        if (mode_ == PlatformMode::Slow) {
            loop_.after(std::chrono::milliseconds(delayMillis_), finish);
        } else {
            finish();
        }
    }

    void handleCall(const HttpRequest &request, const ExchangePtr &exchange)
    {
        try {
            if (request.method_ == "POST" && pathOf(request) == "/v3/watch") {
                openWatch(Json::parse(request.body_, nullptr, false), exchange);
                return;
            }
            if (const auto outcome = answer(request)) {
                reply(*outcome, exchange);
            } else {
                exchange->send(errorResponse(404, 5, "no such call in this stand-in"));
            }
        } catch (const BadCall &error) {
            exchange->send(errorResponse(400, 3, error.what()));
        }
        feedWatches();
    }

    void openWatch(const Json &call, const ExchangePtr &exchange)
    {
        const Json *create = call.is_object() ? findField(call, "create_request") : nullptr;
        if (create == nullptr)
            throw BadCall("create_request is missing");
        Watch watch;
        watch.range_ = {bytesField(*create, "key"), bytesField(*create, "range_end")};
        watch.exchange_ = exchange;
        watch.nextEvent_ = firstEvent(integerField(*create, "start_revision"));
        exchange->startStream({});
        Json created = {{"header", headerJson(store_.revision_)}, {"created", true}};
        exchange->write(Json({{"result", created}}).dump() + "\n");
        exchange->onCallerGone([this] { dropDeadWatches(); });
        watches_.push_back(watch);
        feedWatches();
    }

    std::size_t firstEvent(std::int64_t startRevision) const
    {
        if (startRevision <= 0)
            return store_.history_.size();
        std::size_t index = 0;
        while (index < store_.history_.size()
               && store_.history_[index].entry_.modRevision_ < startRevision)
            ++index;
        return index;
    }

    void feedWatches()
    {
        for (Watch &watch : watches_)
            feedWatch(watch);
    }

    void feedWatch(Watch &watch) const
    {
        Json events = Json::array();
        for (; watch.nextEvent_ < store_.history_.size(); ++watch.nextEvent_) {
            const KvEvent &event = store_.history_[watch.nextEvent_];
            if (!contains(watch.range_, event.entry_.key_))
                continue;
            Json json = {{"kv", entryJson(event.entry_)}};
            if (event.deleted_)
                json["type"] = "DELETE";
            events.push_back(json);
        }
        if (events.empty())
            return;
        const Json result = {{"header", headerJson(store_.revision_)}, {"events", events}};
        watch.exchange_->write(Json({{"result", result}}).dump() + "\n");
    }

    void dropDeadWatches()
    {
        std::erase_if(watches_, [](const Watch &watch) { return !watch.exchange_->isOpen(); });
    }

    std::string control(const Json &call)
    {
        if (call.contains("vms")) {
            std::string error = setVms(call["vms"]);
            if (!error.empty())
                return error;
        }
        delayMillis_ = call.value("delay_ms", delayMillis_);
        listLagMillis_ = call.value("list_lag_ms", listLagMillis_);
        dropReplies_ = call.value("drop_next_replies", dropReplies_);
        if (call.value("remember", false))
            remembered_ = store_;
        staleReads_ = call.value("stale_reads", staleReads_);
        const std::string mode = call.value("mode", "");
        if (mode == "up") {
            mode_ = PlatformMode::Up;
        } else if (mode == "slow") {
            mode_ = PlatformMode::Slow;
        } else if (mode == "down") {
            goDown();
        } else if (!mode.empty()) {
            return "mode must be up, down or slow";
        }
        return {};
    }

    void goDown()
    {
        mode_ = PlatformMode::Down;
        const std::vector<Watch> watches = std::exchange(watches_, {});
        for (const Watch &watch : watches)
            watch.exchange_->close();
    }

    void handleControl(const HttpRequest &request, const ExchangePtr &exchange)
    {
        const Json call = Json::parse(request.body_, nullptr, false);
        std::string error = "the body must be a JSON object";
        try {
            if (call.is_object())
                error = control(call);
        } catch (const Json::exception &fault) {
            error = fault.what();
        }
        if (error.empty()) {
            exchange->send(jsonResponse({{"ok", true}}));
        } else {
            exchange->send(errorResponse(400, 3, error));
        }
    }

    Json countersJson()
    {
        dropDeadWatches();
        return {{"reads", counters_.reads_},
                {"writes", counters_.writes_},
                {"list_reads", counters_.listReads_},
                {"refused", counters_.refused_},
                {"dropped_replies", counters_.droppedReplies_},
                {"watches_waiting", watches_.size()},
                {"revision", store_.revision_}};
    }
};

Platform::Platform(EventLoop &loop, std::int64_t listLagMillis)
    : impl_(std::make_unique<Impl>(Impl{.loop_ = loop, .listLagMillis_ = listLagMillis}))
{
    impl_->tick();
}

Platform::~Platform() = default;

std::string Platform::setVms(const std::string &vmsText)
{
    const Json vms = Json::parse(vmsText, nullptr, false);
    return vms.is_discarded() ? "the VM list isn't JSON" : impl_->setVms(vms);
}

void Platform::handle(const HttpRequest &request, const ExchangePtr &exchange)
{
    const std::string_view path = pathOf(request);
    if (path == "/control" && request.method_ == "POST") {
        impl_->handleControl(request, exchange);
    } else if (path == "/counters") {
        exchange->send(jsonResponse(impl_->countersJson()));
    } else if (impl_->mode_ == PlatformMode::Down) {
        impl_->counters_.refused_ += 1;
        exchange->close();
    } else {
        impl_->handleCall(request, exchange);
    }
}

} // namespace standins
