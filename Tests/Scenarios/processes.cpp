#include "processes.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace scenarios {

namespace {

// Below the ports that the system hands out by itself.
constexpr unsigned firstPort = 21000;
constexpr unsigned portCount = 1000;
constexpr mode_t fileMode = 0644;

sockaddr_in loopback(unsigned short port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bindTo(int socketHandle, unsigned short port)
{
    const sockaddr_in address = loopback(port);
    return ::bind(socketHandle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
}

bool isListenerFree(unsigned short port)
{
    const int socketHandle = ::socket(AF_INET, SOCK_STREAM, 0);
    if (socketHandle < 0)
        return false;
    const int yes = 1;
    ::setsockopt(socketHandle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const bool bound = bindTo(socketHandle, port);
    ::close(socketHandle);
    return bound;
}

/// A process that is stopped or not yet started leaves its TCP port free, so another runner could
/// take it. The UDP port of the same number, held until this runner ends, says that it is taken.
bool reservePort(unsigned short port)
{
    const int socketHandle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (socketHandle < 0)
        return false;
    if (bindTo(socketHandle, port) && isListenerFree(port))
        return true;
    ::close(socketHandle);
    return false;
}

void noteEnd(ChildProcess &process, int status)
{
    process.exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

std::optional<ChildProcess> startProcess(const Launch &launch)
{
    ChildProcess process;
    process.standardOutput_ = launch.folder_ + "/" + launch.name_ + ".out";
    process.standardError_ = launch.folder_ + "/" + launch.name_ + ".err";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, process.standardOutput_.c_str(),
                                     flags, fileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, process.standardError_.c_str(), flags,
                                     fileMode);
    std::vector<char *> arguments = {const_cast<char *>(launch.program_.c_str())};
    for (const std::string &argument : launch.arguments_)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const int error = posix_spawn(&process.id_, launch.program_.c_str(), &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return std::nullopt;
    return process;
}

bool isRunning(ChildProcess &process)
{
    if (process.exit_)
        return false;
    int status = 0;
    if (::waitpid(process.id_, &status, WNOHANG) != process.id_)
        return true;
    noteEnd(process, status);
    return false;
}

void sendSignal(ChildProcess &process, int signal)
{
    if (!isRunning(process))
        return;
    ::kill(process.id_, signal);
    if (signal == SIGSTOP)
        process.frozen_ = true;
    if (signal == SIGCONT)
        process.frozen_ = false;
}

void killProcess(ChildProcess &process)
{
    if (!isRunning(process))
        return;
    ::kill(process.id_, SIGKILL);
    int status = 0;
    while (::waitpid(process.id_, &status, 0) < 0 && errno == EINTR) { }
    noteEnd(process, status);
}

std::string readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool writeWholeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    return static_cast<bool>(file.flush());
}

std::optional<unsigned short> takePort()
{
    // Runners that run side by side begin at different places.
    static unsigned next = static_cast<unsigned>(::getpid()) * 61;
    return takePortFrom(next);
}

std::optional<unsigned short> takePortFrom(unsigned &next)
{
    for (unsigned tried = 0; tried < portCount; ++tried) {
        const auto port = static_cast<unsigned short>(firstPort + next++ % portCount);
        if (reservePort(port))
            return port;
    }
    return std::nullopt;
}

} // namespace scenarios
