#include "StandIns/program.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <fstream>
#include <sstream>

namespace standins {

namespace {

constexpr int usageExitCode = 2;

} // namespace

void fail(const std::string &program, const std::string &text)
{
    fmt::print(stderr, "{}: {}\n", program, text);
    std::exit(usageExitCode);
}

Options readOptions(const std::string &program, const std::string &usage, int argc, char **argv)
{
    Options options;
    options.program_ = program;
    try {
        const auto parsed = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        for (const auto &[name, value] : parsed) {
            if (value.isBool()) {
                options.flags_[name] = value.asBool();
            } else if (value.isString()) {
                options.values_[name] = value.asString();
            }
        }
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}\n", usage);
        std::exit(0);
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: the command line doesn't fit: {}\n\n{}\n", program, error.what(),
                   usage);
        std::exit(usageExitCode);
    }
    return options;
}

std::string textOption(const Options &options, const std::string &name)
{
    const auto found = options.values_.find(name);
    return found == options.values_.end() ? std::string() : found->second;
}

bool flagOption(const Options &options, const std::string &name)
{
    const auto found = options.flags_.find(name);
    return found != options.flags_.end() && found->second;
}

double numberOption(const Options &options, const std::string &name)
{
    const std::string text = textOption(options, name);
    double number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && stop == text.data() + text.size();
    if (!whole || !std::isfinite(number) || number < 0) {
        fail(options.program_,
             fmt::format("{} must be a number of zero or more, not \"{}\"", name, text));
    }
    return number;
}

std::uint16_t portOption(const Options &options, const std::string &name)
{
    const std::string text = textOption(options, name);
    std::uint16_t port = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || stop != text.data() + text.size()) {
        fail(options.program_,
             fmt::format("{} must be a port, 0 to 65535, not \"{}\"", name, text));
    }
    return port;
}

HostPort hostPortOption(const Options &options, const std::string &name)
{
    const std::string text = textOption(options, name);
    const auto parsed = parseHostPort(text);
    if (!parsed)
        fail(options.program_, fmt::format("{} must be HOST:PORT, not \"{}\"", name, text));
    return *parsed;
}

std::string fileOption(const Options &options, const std::string &name)
{
    const std::string path = textOption(options, name);
    std::ifstream file(path);
    if (!file)
        fail(options.program_, fmt::format("{}: can't read the file \"{}\"", name, path));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int serve(EventLoop &loop, HttpServer &server, const Options &options)
{
    const std::string error = server.listen(portOption(options, "--port"));
    if (!error.empty())
        fail(options.program_, error);
    fmt::print("ready {}\n", server.port());
    std::fflush(stdout);
    loop.runUntilSignal();
    return 0;
}

} // namespace standins
