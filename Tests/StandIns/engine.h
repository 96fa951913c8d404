#pragma once

/// The model engine stand-in: OpenAI-style completions with continuous batching, LoRA adapters in
/// slots, fencing numbers, cancel, crash and restart.
///
/// POST /v1/completions, /v1/chat/completions, /v1/load_lora_adapter, /v1/unload_lora_adapter,
/// /cancel; GET /state, /health, /log; POST /control {"fail_loads":N,"restart":true,"freeze_ms":N,
/// "keep_on_disconnect":bool}. Control and log work in every state.

#include "StandIns/http.h"
#include "StandIns/recordlog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standins {

struct EngineOptions
{
    std::size_t adapterSlots_ = 8;
    std::size_t batchSlots_ = 16;
    /// Time of one step of the whole batch.
    Micros stepTime_ = std::chrono::milliseconds(10);
    std::int64_t loadMillis_ = 250;
    Micros restartTime_ = std::chrono::milliseconds(500);
    bool checkFencing_ = false;
    /// A prompt that contains it crashes the engine; empty for none.
    std::string crashMarker_;
    std::optional<HostPort> weightStore_;
};

/// One completion, waiting for a batch slot or running.
struct EngineRun
{
    std::uint64_t number_ = 0;
    std::string attempt_;
    std::string model_;
    std::string prompt_;
    std::int64_t tokensWanted_ = 0;
    std::int64_t priority_ = 0;
    bool stream_ = false;
    bool chat_ = false;
    std::vector<HttpHeader> headers_;
    ExchangePtr exchange_;
    std::vector<std::int64_t> tokenTimes_;
};

/// An adapter on its way in, and who waits for it.
struct EngineLoad
{
    std::vector<ExchangePtr> waiting_;
};

class Engine
{
public:
    using CloseConnections = std::function<void(const ExchangePtr &keep)>;

    Engine(EventLoop &loop, EngineOptions options);
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// How a crash closes every connection.
    void onCrash(CloseConnections closeConnections);
    void handle(const HttpRequest &request, const ExchangePtr &exchange);

private:
    struct Order;

    void control(const HttpRequest &request, const ExchangePtr &exchange);
    void serve(const HttpRequest &request, const ExchangePtr &exchange);
    void complete(const HttpRequest &request, const ExchangePtr &exchange, bool chat);
    void load(const HttpRequest &request, const ExchangePtr &exchange);
    void unload(const HttpRequest &request, const ExchangePtr &exchange);
    void cancel(const HttpRequest &request, const ExchangePtr &exchange);
    std::string state() const;

    std::optional<Order> takeOrder(const HttpRequest &request, const ExchangePtr &exchange);
    void askWeightStore(const std::string &adapter);
    void loadAfter(const std::string &adapter, Micros rest);
    void endLoad(const std::string &adapter, std::uint64_t incarnation, bool loaded);

    void fillBatch();
    void startRun(const std::shared_ptr<EngineRun> &run);
    void scheduleStep();
    void step(std::uint64_t incarnation);
    void generate(EngineRun &run);
    void endRun(const EngineRun &run, const std::string &outcome);
    void callerGone(std::uint64_t number);
    bool stopRun(const std::shared_ptr<EngineRun> &run, const std::string &outcome);
    void crash(const std::string &cause, const ExchangePtr &keep);
    std::size_t runningOn(const std::string &adapter) const;
    Micros frozenFor() const;

    EventLoop &loop_;
    EngineOptions options_;
    CloseConnections closeConnections_;
    RecordLog log_;
    std::uint64_t incarnation_ = 1;
    std::uint64_t fencingNumber_ = 0;
    std::uint64_t nextRun_ = 1;
    std::int64_t awayUntilMicros_ = 0;
    std::int64_t frozenUntilMicros_ = 0;
    std::int64_t failLoads_ = 0;
    bool keepOnDisconnect_ = false;
    bool stepping_ = false;
    std::vector<std::string> adapters_;
    std::map<std::string, EngineLoad> loading_;
    std::vector<std::shared_ptr<EngineRun>> waiting_;
    std::vector<std::shared_ptr<EngineRun>> running_;
};

} // namespace standins
