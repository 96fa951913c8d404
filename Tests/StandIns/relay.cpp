#include "StandIns/relay.h"

#include "StandIns/asioloop.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <set>

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Json = nlohmann::json;

namespace {

constexpr std::size_t bufferBytes = 64 * 1024;

/// What the control interface has asked for.
struct RelayState
{
    bool cut_ = false;
    bool blackhole_ = false;
    bool dropToClient_ = false;
    bool dropToServer_ = false;
    std::int64_t delayMillis_ = 0;
    std::uint64_t connections_ = 0;
    std::uint64_t bytesToClient_ = 0;
    std::uint64_t bytesToServer_ = 0;
    std::uint64_t bytesDropped_ = 0;
};

enum class Direction {
    ToServer,
    ToClient,
};

/// One client's connection and its way on.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    RelayConnection(EventLoop &loop, tcp::socket client, RelayState &state)
        : loop_(loop), client_(std::move(client)), server_(loop.impl().context_), state_(state)
    { }

    void start(const tcp::endpoint &to)
    {
        server_.async_connect(to, [self = shared_from_this()](ErrorCode error) {
            if (error) {
                self->close();
                return;
            }
            ErrorCode ignored;
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->server_.set_option(tcp::no_delay(true), ignored);
            self->read(Direction::ToServer);
            self->read(Direction::ToClient);
        });
    }

    void close()
    {
        ErrorCode ignored;
        client_.close(ignored);
        server_.close(ignored);
        open_ = false;
    }

    bool isOpen() const { return open_; }

    /// Goes on after a black hole, and closes where a gap would show.
    void heal()
    {
        const bool gapToClient = lostToClient_ && !state_.dropToClient_;
        const bool gapToServer = lostToServer_ && !state_.dropToServer_;
        if (gapToClient || gapToServer) {
            close();
            return;
        }
        if (state_.blackhole_)
            return;
        for (const Direction direction : std::exchange(held_, {}))
            forward(direction);
    }

private:
    tcp::socket &source(Direction direction)
    {
        return direction == Direction::ToServer ? client_ : server_;
    }
    tcp::socket &sink(Direction direction)
    {
        return direction == Direction::ToServer ? server_ : client_;
    }
    std::string &bytes(Direction direction)
    {
        return direction == Direction::ToServer ? toServer_ : toClient_;
    }

    void read(Direction direction)
    {
        std::string &buffer = bytes(direction);
        buffer.resize(bufferBytes);
        source(direction).async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this(), direction](ErrorCode error, std::size_t size) {
                if (error) {
                    self->endOf(direction);
                    return;
                }
                self->bytes(direction).resize(size);
                self->delay(direction);
            });
    }

    void endOf(Direction direction)
    {
        // An end of stream travels like bytes: it isn't seen through a black hole.
        ended_[static_cast<std::size_t>(direction)] = true;
        bytes(direction).clear();
        delay(direction);
    }

    void delay(Direction direction)
    {
        if (state_.delayMillis_ <= 0) {
            forward(direction);
            return;
        }
        loop_.after(std::chrono::milliseconds(state_.delayMillis_),
                    [self = shared_from_this(), direction] { self->forward(direction); });
    }

    void forward(Direction direction)
    {
        if (!open_)
            return;
        if (state_.blackhole_) {
            held_.push_back(direction);
            return;
        }
        if (ended_[static_cast<std::size_t>(direction)]) {
            close();
            return;
        }
        if (drops(direction)) {
            read(direction);
            return;
        }
        count(direction);
        asio::async_write(sink(direction), asio::buffer(bytes(direction)),
                          [self = shared_from_this(), direction](ErrorCode error, std::size_t) {
                              if (error)
                                  self->close();
                              else
                                  self->read(direction);
                          });
    }

    bool drops(Direction direction)
    {
        const bool toClient = direction == Direction::ToClient;
        if (!(toClient ? state_.dropToClient_ : state_.dropToServer_))
            return false;
        (toClient ? lostToClient_ : lostToServer_) = true;
        state_.bytesDropped_ += bytes(direction).size();
        return true;
    }

    void count(Direction direction)
    {
        const bool toClient = direction == Direction::ToClient;
        (toClient ? state_.bytesToClient_ : state_.bytesToServer_) += bytes(direction).size();
    }

    EventLoop &loop_;
    tcp::socket client_;
    tcp::socket server_;
    RelayState &state_;
    std::string toServer_;
    std::string toClient_;
    std::array<bool, 2> ended_ = {};
    std::deque<Direction> held_;
    bool lostToClient_ = false;
    bool lostToServer_ = false;
    bool open_ = true;
};

std::string applyControl(const Json &call, RelayState &state)
{
    try {
        state.cut_ = call.value("cut", state.cut_);
        state.blackhole_ = call.value("blackhole", state.blackhole_);
        state.delayMillis_ = call.value("delay_ms", state.delayMillis_);
        state.dropToClient_ = call.value("drop_to_client", state.dropToClient_);
        state.dropToServer_ = call.value("drop_to_server", state.dropToServer_);
    } catch (const Json::exception &error) {
        return error.what();
    }
    return {};
}

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
    Impl(EventLoop &loop, HostPort listen, HostPort to)
        : loop_(loop), listen_(std::move(listen)), to_(std::move(to)),
          acceptor_(loop.impl().context_)
    { }

    EventLoop &loop_;
    HostPort listen_;
    HostPort to_;
    tcp::acceptor acceptor_;
    RelayState state_;
    std::set<std::shared_ptr<RelayConnection>> connections_;

    std::string open()
    {
        ErrorCode error;
        const auto address = asio::ip::make_address(listen_.host_, error);
        const tcp::endpoint endpoint(address, listen_.port_);
        if (!error)
            acceptor_.open(endpoint.protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            return fmt::format("can't listen on {}:{}: {}", listen_.host_, listen_.port_,
                               error.message());
        }
        listen_.port_ = acceptor_.local_endpoint(error).port();
        accept();
        return {};
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
            if (!self->acceptor_.is_open() || error == asio::error::operation_aborted)
                return;
            if (!error)
                self->take(std::move(socket));
            self->accept();
        });
    }

    void take(tcp::socket socket)
    {
        std::erase_if(connections_, [](const auto &old) { return !old->isOpen(); });
        ErrorCode ignored;
        const tcp::endpoint to(asio::ip::make_address(to_.host_, ignored), to_.port_);
        const auto connection = std::make_shared<RelayConnection>(loop_, std::move(socket), state_);
        connections_.insert(connection);
        state_.connections_ += 1;
        connection->start(to);
    }

    std::string change(const Json &call)
    {
        std::string error = applyControl(call, state_);
        if (!error.empty())
            return error;
        ErrorCode ignored;
        if (state_.cut_) {
            acceptor_.close(ignored);
            for (const auto &connection : connections_)
                connection->close();
            connections_.clear();
            return {};
        }
        for (const auto &connection : connections_)
            connection->heal();
        return acceptor_.is_open() ? std::string() : open();
    }

    std::string counters() const
    {
        return Json({{"connections", state_.connections_},
                     {"bytes_to_client", state_.bytesToClient_},
                     {"bytes_to_server", state_.bytesToServer_},
                     {"bytes_dropped", state_.bytesDropped_}})
            .dump();
    }
};

Relay::Relay(EventLoop &loop, HostPort listen, HostPort to)
    : impl_(std::make_shared<Impl>(loop, std::move(listen), std::move(to)))
{ }

Relay::~Relay()
{
    ErrorCode ignored;
    impl_->acceptor_.close(ignored);
    for (const auto &connection : impl_->connections_)
        connection->close();
}

std::string Relay::start()
{
    return impl_->open();
}

std::uint16_t Relay::port() const
{
    return impl_->listen_.port_;
}

void Relay::handle(const HttpRequest &request, const ExchangePtr &exchange)
{
    if (pathOf(request) == "/counters") {
        exchange->send({.body_ = impl_->counters()});
        return;
    }
    if (pathOf(request) != "/control" || request.method_ != "POST") {
        exchange->send({.status_ = 404, .body_ = R"({"error":"no such path"})"});
        return;
    }
    const Json call = Json::parse(request.body_, nullptr, false);
    const std::string error =
        call.is_object() ? impl_->change(call) : "the body must be a JSON object";
    if (error.empty())
        exchange->send({.body_ = R"({"ok":true})"});
    else
        exchange->send({.status_ = 400, .body_ = Json({{"error", error}}).dump()});
}

} // namespace standins
