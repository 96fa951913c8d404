/// The load tool. It sends a bounded number of calls, matches every answer to its own call by
/// content, and tells the times: a mix through the entries, or one kind of call through an entry
/// and straight to an engine, turn about.

#include "calls.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

constexpr const char *usage = R"(Sends a bounded load over loopback and checks every answer.

Usage:
  load mix --entries=LIST --key=KEY [--requests=N] [--callers=N]
  load added --entry=ADDRESS --engine=ADDRESS --key=KEY [--requests=N] [--callers=N]

Options:
  --entries=LIST    Addresses IP:PORT of the entries, joined by commas.
  --entry=ADDRESS   One entry.
  --engine=ADDRESS  The engine that is called without the system in between.
  --key=KEY         The key to send.
  --requests=N      Calls in all [default: 10000].
  --callers=N       Connections at a time [default: 32].

Exit codes: 0 every answer was its call's own; 1 some was not.
)";

using Clock = std::chrono::steady_clock;

/// What one way of calling gave.
struct Tally
{
    std::mutex mutex_;
    std::uint64_t matched_ = 0;
    std::uint64_t wrong_ = 0;
    std::vector<double> millis_;
};

void take(Tally &tally, bool matched, double millis)
{
    const std::lock_guard guard(tally.mutex_);
    matched ? ++tally.matched_ : ++tally.wrong_;
    tally.millis_.push_back(millis);
}

void performTimed(load::Connection &connection, const load::Call &call, Tally &tally)
{
    const auto start = Clock::now();
    const load::Answer answer = connection.perform(call);
    const std::chrono::duration<double, std::milli> took = Clock::now() - start;
    const bool matched = matches(call, answer);
    if (!matched && tally.wrong_ < 3)
        fmt::print(stderr, "wrong answer to call {}: status {}, {}\n", call.number_, answer.status_,
                   answer.body_.substr(0, 200));
    take(tally, matched, took.count());
}

double percentile(std::vector<double> &sorted, double part)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

void print(const std::string &way, Tally &tally, double seconds)
{
    std::sort(tally.millis_.begin(), tally.millis_.end());
    fmt::print("{:<8} {:>8} {:>8} {:>6} {:>8.2f} {:>8.2f} {:>10.0f}\n", way, tally.millis_.size(),
               tally.matched_, tally.wrong_, percentile(tally.millis_, 0.5),
               percentile(tally.millis_, 0.99),
               static_cast<double>(tally.millis_.size()) / seconds);
}

void printHead()
{
    fmt::print("{:<8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>10}\n", "way", "calls", "matched", "wrong",
               "p50 ms", "p99 ms", "calls/s");
}

std::vector<std::string> split(const std::string &list)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string part; std::getline(text, part, ',');)
        parts.push_back(part);
    return parts;
}

/// Runs work(caller) on so many threads and gives the seconds it took.
template <class Work>
double runCallers(long callers, const Work &work)
{
    const auto start = Clock::now();
    std::vector<std::thread> threads;
    for (long caller = 0; caller < callers; ++caller)
        threads.emplace_back([&work, caller] { work(caller); });
    for (std::thread &thread : threads)
        thread.join();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

bool runMix(const std::vector<std::string> &entries, const std::string &key, long requests,
            long callers)
{
    Tally tally;
    std::atomic<long> next = 0;
    const double seconds = runCallers(callers, [&](long caller) {
        load::Connection connection(entries[static_cast<std::size_t>(caller) % entries.size()],
                                    key);
        for (long number = next++; number < requests; number = next++)
            performTimed(connection, load::mixedCall(static_cast<std::uint64_t>(number)), tally);
    });
    printHead();
    print("mix", tally, seconds);
    return tally.wrong_ == 0;
}

load::Call smallCall(long number, const std::string &route)
{
    load::Call call;
    call.number_ = static_cast<std::uint64_t>(number);
    call.model_ = "oak-legs@3";
    call.route_ = route;
    return call;
}

/// Both ways turn about, so that whatever else the machine does meets both.
bool runAdded(const std::string &entry, const std::string &engine, const std::string &key,
              long requests, long callers)
{
    Tally through;
    Tally direct;
    std::atomic<long> next = 0;
    const double seconds = runCallers(callers, [&](long) {
        load::Connection toEntry(entry, key);
        load::Connection toEngine(engine, {});
        for (long number = next++; number < requests; number = next++) {
            performTimed(toEntry, smallCall(number, "oak"), through);
            performTimed(toEngine, smallCall(number, "oak-legs@3"), direct);
        }
    });
    printHead();
    print("entry", through, seconds);
    print("engine", direct, seconds);
    return through.wrong_ == 0 && direct.wrong_ == 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const long requests = options["--requests"].asLong();
    const long callers = options["--callers"].asLong();
    const std::string key = options["--key"].asString();
    const bool right = options["mix"].asBool()
        ? runMix(split(options["--entries"].asString()), key, requests, callers)
        : runAdded(options["--entry"].asString(), options["--engine"].asString(), key, requests,
                   callers);
    return right ? 0 : 1;
}
