#include "StandIns/engine.h"

#include "StandIns/completion.h"

#include <algorithm>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace standins {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::int64_t defaultMaxTokens = 16;
constexpr std::size_t loggedPromptBytes = 256;
constexpr Micros weightStoreTimeout = std::chrono::minutes(2);

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse errorResponse(unsigned status, const std::string &message)
{
    const Json error = {{"message", message}, {"code", status}};
    return {.status_ = status, .body_ = dump({{"error", error}})};
}

Json headersJson(const std::vector<HttpHeader> &headers)
{
    Json json = Json::array();
    for (const HttpHeader &header : headers)
        json.push_back({header.name_, header.value_});
    return json;
}

/// A chat's prompt: the contents of its messages, a line each.
std::string chatPrompt(const Json &call)
{
    std::string prompt;
    for (const Json &message : call.at("messages")) {
        if (!prompt.empty())
            prompt += '\n';
        prompt += message.at("content").get<std::string>();
    }
    return prompt;
}

Json choiceJson(const EngineRun &run, const std::string &text, bool last)
{
    Json choice = {{"index", 0}};
    if (run.chat_ && run.stream_) {
        choice["delta"] = {{"role", "assistant"}, {"content", text}};
    } else if (run.chat_) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = last ? Json("length") : Json(nullptr);
    return choice;
}

Json answerJson(const EngineRun &run, const std::string &text, bool last)
{
    const std::string kind = run.chat_ ? "chat.completion" : "text_completion";
    Json json = {{"id", "run-" + std::to_string(run.number_)},
                 {"object", run.chat_ && run.stream_ ? kind + ".chunk" : kind},
                 {"model", run.model_},
                 {"choices", Json::array({choiceJson(run, text, last)})}};
    if (!last)
        return json;
    const std::int64_t prompt = promptTokens(run.prompt_);
    json["usage"] = {{"prompt_tokens", prompt},
                     {"completion_tokens", run.tokensWanted_},
                     {"total_tokens", prompt + run.tokensWanted_}};
    return json;
}

std::int64_t generatedSoFar(const EngineRun &run)
{
    return static_cast<std::int64_t>(run.tokenTimes_.size());
}

} // namespace

/// An order to load or unload an adapter.
struct Engine::Order
{
    std::string adapter_;
    std::uint64_t fencingNumber_ = 0;
    bool old_ = false;
};

Engine::Engine(EventLoop &loop, EngineOptions options) : loop_(loop), options_(std::move(options))
{ }

void Engine::onCrash(CloseConnections closeConnections)
{
    closeConnections_ = std::move(closeConnections);
}

void Engine::handle(const HttpRequest &request, const ExchangePtr &exchange)
{
    const std::string_view path = pathOf(request);
    if (path == "/log") {
        exchange->send(recordLogResponse(log_));
    } else if (path == "/control" && request.method_ == "POST") {
        control(request, exchange);
    } else if (monotonicMicros() < awayUntilMicros_) {
        exchange->close();
    } else if (frozenFor() > Micros(0)) {
        loop_.after(frozenFor(), [this, request, exchange] { handle(request, exchange); });
    } else {
        serve(request, exchange);
    }
}

void Engine::control(const HttpRequest &request, const ExchangePtr &exchange)
{
    const Json call = Json::parse(request.body_, nullptr, false);
    try {
        failLoads_ = call.value("fail_loads", failLoads_);
        keepOnDisconnect_ = call.value("keep_on_disconnect", keepOnDisconnect_);
        const std::int64_t freezeMillis = call.value("freeze_ms", std::int64_t(0));
        const bool restart = call.value("restart", false);
        if (freezeMillis > 0)
            frozenUntilMicros_ = monotonicMicros() + freezeMillis * 1000;
        if (restart)
            crash("control", exchange);
        exchange->send({.body_ = R"({"ok":true})"});
    } catch (const Json::exception &error) {
        exchange->send(errorResponse(400, error.what()));
    }
}

void Engine::serve(const HttpRequest &request, const ExchangePtr &exchange)
{
    const std::string_view path = pathOf(request);
    const bool post = request.method_ == "POST";
    try {
        if (post && path == "/v1/completions") {
            complete(request, exchange, false);
        } else if (post && path == "/v1/chat/completions") {
            complete(request, exchange, true);
        } else if (post && path == "/v1/load_lora_adapter") {
            load(request, exchange);
        } else if (post && path == "/v1/unload_lora_adapter") {
            unload(request, exchange);
        } else if (post && path == "/cancel") {
            cancel(request, exchange);
        } else if (path == "/state") {
            exchange->send({.body_ = state()});
        } else if (path == "/health") {
            exchange->send({.body_ = "{}"});
        } else {
            exchange->send(errorResponse(404, "no such path"));
        }
    } catch (const Json::exception &error) {
        exchange->send(errorResponse(400, error.what()));
    }
}

std::string Engine::state() const
{
    Json running = Json::array();
    for (const auto &run : running_)
        running.push_back({{"attempt", run->attempt_}, {"model", run->model_}});
    for (const auto &run : waiting_)
        running.push_back({{"attempt", run->attempt_}, {"model", run->model_}});
    return dump({{"incarnation", incarnation_},
                 {"fencing_number", fencingNumber_},
                 {"adapter_slots", options_.adapterSlots_},
                 {"batch_slots", options_.batchSlots_},
                 {"adapters", adapters_},
                 {"running", running}});
}

// ---- Runs

void Engine::complete(const HttpRequest &request, const ExchangePtr &exchange, bool chat)
{
    const Json call = Json::parse(request.body_);
    const auto run = std::make_shared<EngineRun>();
    run->number_ = nextRun_++;
    run->attempt_ = headerValue(request.headers_, "X-Attempt-Id");
    run->model_ = call.at("model").get<std::string>();
    run->prompt_ = chat ? chatPrompt(call) : call.at("prompt").get<std::string>();
    const auto maxTokens = call.value("max_tokens", defaultMaxTokens);
    run->tokensWanted_ = generatedTokens(run->prompt_, std::max<std::int64_t>(1, maxTokens));
    run->priority_ = call.value("priority", std::int64_t(0));
    run->stream_ = call.value("stream", false);
    run->chat_ = chat;
    run->headers_ = request.headers_;
    run->exchange_ = exchange;
    if (std::find(adapters_.begin(), adapters_.end(), run->model_) == adapters_.end()) {
        appendRecord(log_,
                     dump({{"at_us", monotonicMicros()},
                           {"event", "model_missing"},
                           {"attempt", run->attempt_},
                           {"model", run->model_}}));
        exchange->send(errorResponse(404, "the model \"" + run->model_ + "\" isn't loaded"));
        return;
    }
    exchange->onCallerGone([this, number = run->number_] { callerGone(number); });
    waiting_.push_back(run);
    std::stable_sort(waiting_.begin(), waiting_.end(), [](const auto &left, const auto &right) {
        return left->priority_ < right->priority_;
    });
    fillBatch();
}

void Engine::fillBatch()
{
    while (!waiting_.empty() && running_.size() < options_.batchSlots_) {
        const auto run = waiting_.front();
        waiting_.erase(waiting_.begin());
        startRun(run);
    }
}

void Engine::startRun(const std::shared_ptr<EngineRun> &run)
{
    running_.push_back(run);
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "start"},
                       {"incarnation", incarnation_},
                       {"attempt", run->attempt_},
                       {"model", run->model_},
                       {"prompt_digest", digestHex(run->prompt_)},
                       {"prompt_tokens", promptTokens(run->prompt_)},
                       {"prompt_head", run->prompt_.substr(0, loggedPromptBytes)},
                       {"stream", run->stream_},
                       {"headers", headersJson(run->headers_)}}));
    if (!options_.crashMarker_.empty()
        && run->prompt_.find(options_.crashMarker_) != std::string::npos) {
        crash("marked request", nullptr);
        return;
    }
    if (run->stream_)
        run->exchange_->startStream({.contentType_ = "text/event-stream"});
    scheduleStep();
}

void Engine::scheduleStep()
{
    if (stepping_)
        return;
    stepping_ = true;
    loop_.after(options_.stepTime_, [this, incarnation = incarnation_] { step(incarnation); });
}

void Engine::step(std::uint64_t incarnation)
{
    if (incarnation != incarnation_)
        return;
    if (frozenFor() > Micros(0)) {
        loop_.after(frozenFor(), [this, incarnation] { step(incarnation); });
        return;
    }
    stepping_ = false;
    for (const auto &run : running_)
        generate(*run);
    std::erase_if(running_,
                  [](const auto &run) { return generatedSoFar(*run) >= run->tokensWanted_; });
    fillBatch();
    if (!running_.empty())
        scheduleStep();
}

void Engine::generate(EngineRun &run)
{
    const std::int64_t index = generatedSoFar(run);
    run.tokenTimes_.push_back(monotonicMicros());
    const bool last = index + 1 >= run.tokensWanted_;
    if (run.stream_) {
        const std::string text = tokenText(run.model_, run.prompt_, index);
        run.exchange_->write("data: " + dump(answerJson(run, text, last)) + "\n\n");
    }
    if (!last)
        return;
    endRun(run, "whole");
    if (run.stream_) {
        run.exchange_->write("data: [DONE]\n\n");
        run.exchange_->finishStream();
        return;
    }
    const std::string text = completionText(run.model_, run.prompt_, run.tokensWanted_);
    run.exchange_->send({.body_ = dump(answerJson(run, text, true))});
}

void Engine::endRun(const EngineRun &run, const std::string &outcome)
{
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "end"},
                       {"incarnation", incarnation_},
                       {"attempt", run.attempt_},
                       {"model", run.model_},
                       {"prompt_digest", digestHex(run.prompt_)},
                       {"outcome", outcome},
                       {"tokens", generatedSoFar(run)},
                       {"token_at_us", run.tokenTimes_}}));
}

void Engine::callerGone(std::uint64_t number)
{
    if (keepOnDisconnect_)
        return;
    for (const auto &list : {running_, waiting_}) {
        for (const auto &run : list) {
            if (run->number_ == number)
                stopRun(run, "caller_gone");
        }
    }
}

bool Engine::stopRun(const std::shared_ptr<EngineRun> &run, const std::string &outcome)
{
    const bool wasRunning = std::erase(running_, run) > 0;
    const bool wasWaiting = std::erase(waiting_, run) > 0;
    if (wasRunning)
        endRun(*run, outcome);
    if (wasRunning)
        fillBatch();
    return wasRunning || wasWaiting;
}

void Engine::cancel(const HttpRequest &request, const ExchangePtr &exchange)
{
    const auto attempt = Json::parse(request.body_).at("attempt").get<std::string>();
    bool found = false;
    for (const auto &list : {running_, waiting_}) {
        for (const auto &run : list) {
            if (run->attempt_ != attempt || !stopRun(run, "cancelled"))
                continue;
            found = true;
            run->exchange_->close();
        }
    }
    exchange->send({.body_ = dump({{"cancelled", found}})});
}

// ---- Adapters

std::optional<Engine::Order> Engine::takeOrder(const HttpRequest &request,
                                               const ExchangePtr &exchange)
{
    const Json call = Json::parse(request.body_);
    Order order;
    order.adapter_ = call.at("lora_name").get<std::string>();
    order.fencingNumber_ = call.value("fencing_number", std::uint64_t(0));
    order.old_ = order.fencingNumber_ < fencingNumber_;
    if (order.old_ && options_.checkFencing_) {
        appendRecord(log_,
                     dump({{"at_us", monotonicMicros()},
                           {"event", "order_refused"},
                           {"adapter", order.adapter_},
                           {"fencing_number", order.fencingNumber_}}));
        exchange->send(errorResponse(409, "old fencing number"));
        return std::nullopt;
    }
    fencingNumber_ = std::max(fencingNumber_, order.fencingNumber_);
    return order;
}

void Engine::load(const HttpRequest &request, const ExchangePtr &exchange)
{
    const auto order = takeOrder(request, exchange);
    if (!order)
        return;
    const std::string &adapter = order->adapter_;
    if (std::find(adapters_.begin(), adapters_.end(), adapter) != adapters_.end()) {
        exchange->send({.body_ = dump({{"loaded", adapter}})});
        return;
    }
    const auto found = loading_.find(adapter);
    if (found != loading_.end()) {
        found->second.waiting_.push_back(exchange);
        return;
    }
    if (adapters_.size() + loading_.size() >= options_.adapterSlots_) {
        exchange->send(errorResponse(507, "no adapter slot is free"));
        return;
    }
    loading_[adapter].waiting_.push_back(exchange);
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "load_start"},
                       {"adapter", adapter},
                       {"fencing_number", order->fencingNumber_},
                       {"old_fencing", order->old_}}));
    askWeightStore(adapter);
}

void Engine::askWeightStore(const std::string &adapter)
{
    if (!options_.weightStore_) {
        loadAfter(adapter, std::chrono::milliseconds(options_.loadMillis_));
        return;
    }
    std::string path = adapter;
    std::replace(path.begin(), path.end(), '@', '/');
    const HttpRequest request = {
        .method_ = "GET",
        .target_ = fmt::format("/weights/{}?load_ms={}", path, options_.loadMillis_)};
    const auto ended = [this, adapter, incarnation = incarnation_](const HttpResult &result) {
        const Json answer = Json::parse(result.response_.body_, nullptr, false);
        if (incarnation != incarnation_)
            return;
        if (result.end_ == CallEnd::Whole && answer.is_object()) {
            loadAfter(adapter, Micros(answer.value("rest_us", std::int64_t(0))));
        } else {
            endLoad(adapter, incarnation, false);
        }
    };
    HttpCall::start(loop_, *options_.weightStore_, request, weightStoreTimeout, nullptr, ended);
}

void Engine::loadAfter(const std::string &adapter, Micros rest)
{
    const bool fails = failLoads_ > 0;
    failLoads_ -= fails ? 1 : 0;
    loop_.after(rest, [this, adapter, fails, incarnation = incarnation_] {
        endLoad(adapter, incarnation, !fails);
    });
}

void Engine::endLoad(const std::string &adapter, std::uint64_t incarnation, bool loaded)
{
    if (incarnation != incarnation_)
        return;
    if (frozenFor() > Micros(0)) {
        loop_.after(frozenFor(), [this, adapter, incarnation, loaded] {
            endLoad(adapter, incarnation, loaded);
        });
        return;
    }
    const auto waiting = loading_[adapter].waiting_;
    loading_.erase(adapter);
    if (loaded)
        adapters_.push_back(adapter);
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "load_end"},
                       {"adapter", adapter},
                       {"loaded", loaded}}));
    for (const ExchangePtr &exchange : waiting) {
        if (loaded) {
            exchange->send({.body_ = dump({{"loaded", adapter}})});
        } else {
            exchange->send(errorResponse(500, "the adapter failed to load"));
        }
    }
}

std::size_t Engine::runningOn(const std::string &adapter) const
{
    const auto uses = [&](const auto &run) { return run->model_ == adapter; };
    return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), uses)
                                    + std::count_if(waiting_.begin(), waiting_.end(), uses));
}

void Engine::unload(const HttpRequest &request, const ExchangePtr &exchange)
{
    const auto order = takeOrder(request, exchange);
    if (!order)
        return;
    if (std::erase(adapters_, order->adapter_) == 0) {
        exchange->send(errorResponse(404, "the adapter isn't loaded"));
        return;
    }
    const std::size_t running = runningOn(order->adapter_);
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "unload"},
                       {"adapter", order->adapter_},
                       {"fencing_number", order->fencingNumber_},
                       {"old_fencing", order->old_},
                       {"running", running},
                       {"in_use", running > 0}}));
    exchange->send({.body_ = dump({{"unloaded", order->adapter_}})});
}

// ---- Faults

void Engine::crash(const std::string &cause, const ExchangePtr &keep)
{
    const auto running = std::exchange(running_, {});
    waiting_.clear();
    for (const auto &run : running)
        endRun(*run, "crashed");
    loading_.clear();
    adapters_.clear();
    fencingNumber_ = 0;
    stepping_ = false;
    incarnation_ += 1;
    awayUntilMicros_ = monotonicMicros() + options_.restartTime_.count();
    appendRecord(log_,
                 dump({{"at_us", monotonicMicros()},
                       {"event", "crash"},
                       {"cause", cause},
                       {"next_incarnation", incarnation_}}));
    if (closeConnections_)
        closeConnections_(keep);
}

Micros Engine::frozenFor() const
{
    return Micros(std::max<std::int64_t>(0, frozenUntilMicros_ - monotonicMicros()));
}

} // namespace standins
