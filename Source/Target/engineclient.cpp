#include "Target/engineclient.h"

#include "Target/answermeter.h"
#include "Target/enginecodec.h"
#include "Vm/boundedring.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t commandCapacity = 4096;
constexpr std::size_t readBytes = std::size_t(16) * 1024;
constexpr std::size_t replyLimit = std::size_t(8) * 1024 * 1024;
constexpr Duration connectTimeout = std::chrono::seconds(2);
constexpr Duration stateTimeout = std::chrono::seconds(1);
constexpr Duration cancelTimeout = std::chrono::seconds(2);
constexpr Duration loadTimeout = std::chrono::seconds(60);
constexpr Duration unloadTimeout = std::chrono::seconds(10);
constexpr Duration deliverRetry = std::chrono::milliseconds(1);
constexpr std::size_t idleLimit = 64;
/// Events that a run may hold back.
constexpr std::size_t gatheredLimit = 4;

using Request = http::request<http::string_body>;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

/// A run under way.
struct Run
{
    /// Empty until it has a connection.
    StreamPtr stream_;
    /// The connection has carried another run before.
    bool reused_ = false;
    /// The answer is whole and the connection can carry another run.
    bool reusable_ = false;
    bool cancelled_ = false;
    /// Events of what has been read, while there is more to read without a wait.
    std::vector<EngineEvent> gathered_;
};

/// A connection that a whole answer left open.
struct IdleConnection
{
    StreamPtr stream_;
    Time since_;
};

using RunPtr = std::shared_ptr<Run>;

/// A reply that is read whole; status 0 where none came.
struct Reply
{
    unsigned status_ = 0;
    std::string body_;
};

auto into(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

bool known(const std::string &text)
{
    return !text.empty();
}

/// Whether the connection is open and has nothing to read: a target that closes it, or that says
/// something out of turn, can't be given a run on it.
bool isQuiet(tcp::socket &socket)
{
    char byte = 0;
    error_code error;
    socket.non_blocking(true, error);
    if (error)
        return false;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

Result<TargetAddress, EngineError> parseTargetUrl(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    const EngineError wrong{"\"" + url + "\" isn't of the form http://IP:PORT"};
    if (!url.starts_with(scheme))
        return wrong;
    std::string_view rest = std::string_view(url).substr(scheme.size());
    if (rest.ends_with('/'))
        rest.remove_suffix(1);
    const std::size_t colon = rest.rfind(':');
    if (colon == std::string_view::npos)
        return wrong;
    TargetAddress address{.host_ = std::string(rest.substr(0, colon))};
    const std::string_view port = rest.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port_);
    error_code invalid;
    asio::ip::make_address(address.host_, invalid);
    if (invalid || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size())
        return wrong;
    return address;
}

struct EngineClient::Impl
{
    Impl(EngineClientSettings settings, Deliver deliver)
        : settings_(std::move(settings)), deliver_(std::move(deliver)), commands_(commandCapacity)
    { }

    tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address(settings_.address_.host_), settings_.address_.port_};
    }

    Request request(http::verb verb, const std::string &path) const
    {
        Request made(verb, path, 11);
        made.set(http::field::host, settings_.address_.host_);
        made.keep_alive(false);
        return made;
    }

    /// Hands an event on, however long the receiver stays full. Its argument is always a moved
    /// variable: GCC 12 destroys a braced temporary in a co_await expression twice.
    asio::awaitable<void> hand(EngineEvent event)
    {
        asio::steady_timer timer(context_);
        // A refusal leaves the event untouched. NOLINTNEXTLINE(bugprone-use-after-move)
        while (!deliver_(std::move(event))) {
            error_code ignored;
            timer.expires_after(deliverRetry);
            co_await timer.async_wait(into(ignored));
        }
    }

    /// Hands on what a run has gathered: close together, so that they can go on as one message.
    asio::awaitable<void> handGathered(RunPtr run)
    {
        for (EngineEvent &gathered : run->gathered_) {
            EngineEvent event = std::move(gathered);
            co_await hand(std::move(event));
        }
        run->gathered_.clear();
    }

    /// One request with a short reply, on a connection of its own.
    asio::awaitable<Reply> call(Request made, Duration timeout)
    {
        Reply reply;
        beast::tcp_stream stream(context_);
        beast::flat_buffer buffer;
        error_code error;
        stream.expires_after(timeout);
        co_await stream.async_connect(endpoint(), into(error));
        if (error)
            co_return reply;
        made.prepare_payload();
        co_await http::async_write(stream, made, into(error));
        if (error)
            co_return reply;
        http::response_parser<http::string_body> parser;
        parser.body_limit(replyLimit);
        co_await http::async_read(stream, buffer, parser, into(error));
        if (error)
            co_return reply;
        reply.status_ = parser.get().result_int();
        reply.body_ = std::move(parser.get().body());
        co_return reply;
    }

    asio::awaitable<void> perform(ReadEngineState read)
    {
        Request made = request(http::verb::get, "/state");
        const Reply reply = co_await call(std::move(made), stateTimeout);
        const std::optional<EngineState> state =
            reply.status_ == 200 ? parseEngineState(reply.body_) : std::nullopt;
        EngineEvent event = EngineUnreachable{read.read_};
        if (state)
            event = EngineStateRead{read.read_, *state};
        co_await hand(std::move(event));
    }

    static OrderOutcome outcomeOf(const Reply &reply)
    {
        switch (reply.status_) {
        case 0:
            return OrderOutcome::Unknown;
        case 200:
            return OrderOutcome::Done;
        case 409:
            return OrderOutcome::Fenced;
        default:
            return OrderOutcome::Failed;
        }
    }

    asio::awaitable<void> perform(AdapterOrder order)
    {
        const bool load = order.kind_ == OrderKind::Load;
        Request made =
            request(http::verb::post, load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter");
        made.set(http::field::content_type, "application/json");
        made.body() = adapterOrderBody(order);
        const Reply reply = co_await call(std::move(made), load ? loadTimeout : unloadTimeout);
        EngineEvent event = OrderEnded{order.order_, order.kind_, order.adapter_, outcomeOf(reply)};
        co_await hand(std::move(event));
    }

    /// Closing the connection is what stops a run on a target without a cancel call.
    void closeRun(const AttemptId &attempt, const RunPtr &run)
    {
        const auto found = runs_.find(attempt);
        if (found != runs_.end() && found->second == run && run->stream_)
            run->stream_->close();
    }

    asio::awaitable<void> perform(CancelRun cancel)
    {
        const auto found = runs_.find(cancel.attempt_);
        const RunPtr run = found == runs_.end() ? nullptr : found->second;
        if (run)
            run->cancelled_ = true;
        if (settings_.engine_) {
            Request made = request(http::verb::post, "/cancel");
            made.set(http::field::content_type, "application/json");
            made.body() = cancelBody(cancel.attempt_);
            co_await call(std::move(made), cancelTimeout);
        }
        if (run)
            closeRun(cancel.attempt_, run);
    }

    /// The request of a run; empty where its body can't be sent to an engine.
    std::optional<Request> runRequest(StartRun &start) const
    {
        Request made = request(http::verb::get, start.path_);
        made.keep_alive(true);
        made.method_string(start.method_);
        made.set("X-Attempt-Id", start.attempt_.text_);
        made.set(http::field::accept, start.stream_ ? "text/event-stream" : "*/*");
        if (known(start.contentType_))
            made.set(http::field::content_type, start.contentType_);
        if (known(start.traceparent_))
            made.set("traceparent", start.traceparent_);
        if (start.adapter_.empty()) {
            if (!start.account_.empty())
                made.set("X-Client-Account", start.account_.text_);
            made.body() = std::move(start.body_);
        } else {
            std::optional<std::string> body = runBody(start);
            if (!body)
                return std::nullopt;
            made.body() = std::move(*body);
        }
        made.prepare_payload();
        return made;
    }

    /// The newest idle connection that is fit for a run; empty where there is none.
    StreamPtr takeIdle()
    {
        while (!idle_.empty()) {
            StreamPtr stream = std::move(idle_.back().stream_);
            idle_.pop_back();
            if (isQuiet(stream->socket()))
                return stream;
        }
        return nullptr;
    }

    void keepIdle(StreamPtr stream)
    {
        if (idle_.size() >= idleLimit)
            return;
        idle_.push_back({std::move(stream), monotonicNow()});
        if (!std::exchange(closingIdle_, true))
            asio::co_spawn(context_, closeIdle(), asio::detached);
    }

    /// Closes what has been idle for too long, until nothing is.
    asio::awaitable<void> closeIdle()
    {
        asio::steady_timer timer(context_);
        while (!idle_.empty()) {
            error_code ignored;
            timer.expires_at(idle_.front().since_ + settings_.idleTime_);
            co_await timer.async_wait(into(ignored));
            const Time now = monotonicNow();
            std::erase_if(idle_, [&](const IdleConnection &connection) {
                return now - connection.since_ >= settings_.idleTime_;
            });
        }
        closingIdle_ = false;
    }

    asio::awaitable<bool> connect(RunPtr run)
    {
        run->reused_ = false;
        run->stream_ = std::make_unique<beast::tcp_stream>(context_);
        run->stream_->expires_after(connectTimeout);
        error_code error;
        co_await run->stream_->async_connect(endpoint(), into(error));
        if (error)
            co_return false;
        error_code ignored;
        run->stream_->socket().set_option(tcp::no_delay(true), ignored);
        // The decisions keep the deadline, and cancel.
        run->stream_->expires_never();
        co_return true;
    }

    /// How much of a run's request reached the target.
    enum class Sent {
        Nothing,
        Part,
        All,
    };

    asio::awaitable<Sent> sendOnce(const Request &made, RunPtr run)
    {
        error_code error;
        const std::size_t written = co_await http::async_write(*run->stream_, made, into(error));
        if (!error)
            co_return Sent::All;
        co_return written == 0 ? Sent::Nothing : Sent::Part;
    }

    /// Only a request of which the system took no byte is sent anew: the target can't have it.
    asio::awaitable<Sent> send(const Request &made, RunPtr run, bool idempotent)
    {
        if (idempotent)
            run->stream_ = takeIdle();
        run->reused_ = run->stream_ != nullptr;
        if (run->reused_) {
            const Sent sent = co_await sendOnce(made, run);
            if (sent != Sent::Nothing || run->cancelled_)
                co_return sent;
        }
        const bool connected = co_await connect(run);
        if (!connected || run->cancelled_)
            co_return Sent::Nothing;
        co_return co_await sendOnce(made, run);
    }

    /// A target that closes an idle connection may say so by this status: it isn't the run's
    /// answer.
    static bool isOutOfTurn(const Run &run, http::status status)
    {
        return run.reused_ && status == http::status::request_timeout;
    }

    /// Whether the next read finds nothing yet, or enough has gathered.
    static bool wouldWait(Run &run, const beast::flat_buffer &buffer)
    {
        error_code error;
        const bool more = buffer.size() > 0 || run.stream_->socket().available(error) > 0;
        return !more || run.gathered_.size() >= gatheredLimit;
    }

    /// Passes the answer on as it comes. False where it broke off.
    asio::awaitable<bool> passAnswer(const AttemptId &attempt, const RunPtr &run, http::verb method,
                                     AnswerMeter &meter)
    {
        beast::flat_buffer buffer;
        buffer.reserve(readBytes);
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        parser.skip(method == http::verb::head);
        error_code error;
        co_await http::async_read_header(*run->stream_, buffer, parser, into(error));
        if (error || isOutOfTurn(*run, parser.get().result()))
            co_return false;
        const auto type = parser.get()[http::field::content_type];
        meter.form_ =
            settings_.engine_ ? answerForm({type.data(), type.size()}) : AnswerForm::Opaque;
        run->gathered_.emplace_back(RunHead{attempt, parser.get().result_int(), std::string(type)});
        std::array<char, readBytes> bytes;
        while (!parser.is_done()) {
            if (wouldWait(*run, buffer))
                co_await handGathered(run);
            parser.get().body().data = bytes.data();
            parser.get().body().size = bytes.size();
            co_await http::async_read_some(*run->stream_, buffer, parser, into(error));
            if (error && error != http::error::need_buffer)
                co_return false;
            const std::size_t count = bytes.size() - parser.get().body().size;
            if (count == 0)
                continue;
            const std::string_view read(bytes.data(), count);
            meterBytes(meter, read);
            run->gathered_.emplace_back(
                RunBytes{attempt, std::string(read), generatedTokens(meter)});
        }
        run->reusable_ = parser.keep_alive() && buffer.size() == 0 && !run->cancelled_;
        co_return true;
    }

    static EngineEvent failure(const AttemptId &attempt, bool sent)
    {
        return RunFailed{attempt, sent};
    }

    asio::awaitable<EngineEvent> carryOut(StartRun start, RunPtr run)
    {
        const AttemptId attempt = start.attempt_;
        const std::optional<Request> made = runRequest(start);
        if (!made)
            co_return failure(attempt, false);
        const Sent sent = co_await send(*made, run, start.idempotent_);
        if (sent != Sent::All)
            co_return failure(attempt, sent == Sent::Part);
        AnswerMeter meter;
        const bool whole = co_await passAnswer(attempt, run, made->method(), meter);
        if (!whole)
            co_return failure(attempt, true);
        meterEnd(meter);
        EngineEvent ended = RunEnded{attempt, generatedTokens(meter)};
        co_return ended;
    }

    asio::awaitable<void> perform(StartRun start)
    {
        const AttemptId attempt = start.attempt_;
        const RunPtr run = std::make_shared<Run>();
        runs_[attempt] = run;
        EngineEvent end = co_await carryOut(std::move(start), run);
        runs_.erase(attempt);
        // Cancelled meanwhile or not: from here on nobody closes it but the pool.
        if (run->reusable_ && !run->cancelled_)
            keepIdle(std::move(run->stream_));
        co_await handGathered(run);
        co_await hand(std::move(end));
    }

    void takeCommands()
    {
        while (std::optional<EngineCommand> command = commands_.pop(Duration(0))) {
            const auto spawn = [this](auto &&taken) {
                asio::co_spawn(context_, perform(std::forward<decltype(taken)>(taken)),
                               asio::detached);
            };
            std::visit(spawn, std::move(*command));
        }
    }

    EngineClientSettings settings_;
    Deliver deliver_;
    BoundedRing<EngineCommand> commands_;
    asio::io_context context_{1};
    std::unordered_map<AttemptId, RunPtr> runs_;
    /// Connections between runs, the longest idle first.
    std::vector<IdleConnection> idle_;
    bool closingIdle_ = false;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_;
    std::thread thread_;
};

EngineClient::EngineClient(EngineClientSettings settings, Deliver deliver)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(deliver)))
{ }

EngineClient::~EngineClient()
{
    stop();
}

void EngineClient::start()
{
    impl_->work_.emplace(impl_->context_.get_executor());
    impl_->thread_ = std::thread([this] { impl_->context_.run(); });
}

void EngineClient::stop()
{
    impl_->commands_.close();
    impl_->work_.reset();
    impl_->context_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

bool EngineClient::submit(EngineCommand command)
{
    if (!impl_->commands_.tryPush(std::move(command)))
        return false;
    asio::post(impl_->context_, [this] { impl_->takeCommands(); });
    return true;
}

} // namespace eelgrasscove
