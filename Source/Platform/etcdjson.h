#pragma once

/// The platform's replies and calls as JSON, in the form of etcd v3's HTTP gateway: keys and values
/// in base64, 64-bit integers as strings. Pure.

#include <eelgrasscove/platform.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// A reply that doesn't have the form agreed.
struct EtcdError
{
    std::string message_;
};

/// One call: path on the service, and body.
struct EtcdCall
{
    std::string path_;
    std::string body_;
};

/// The call for an operation; prefix is put before every key.
EtcdCall encodeOperation(const KvOperation &operation, const std::string &prefix);

/// The outcome of a reply with HTTP status 200.
Result<KvOutcome, EtcdError> decodeOutcome(const KvOperation &operation, const std::string &prefix,
                                           const std::string &body);

/// What a reply with another HTTP status says, and whether surely nothing was written.
struct EtcdRefusal
{
    bool nothingWritten_ = false;
    std::string message_;
};

EtcdRefusal decodeRefusal(std::uint32_t status, const std::string &body);

/// Keys from first_ up to but without end_.
struct KeyInterval
{
    std::string first_;
    std::string end_;
};

/// The smallest key after all keys that begin with the prefix; "\0" stands for no end.
std::string endOfPrefix(std::string prefix);

/// The body that opens a watch on keys changed at startRevision or later.
std::string encodeWatch(const KeyInterval &interval, std::int64_t startRevision,
                        const std::string &prefix);

/// One line of a watch.
struct WatchLine
{
    std::int64_t revision_ = 0;
    /// The service ended the watch, for example because the start revision was compacted away.
    bool cancelled_ = false;
    std::vector<KvPair> written_;
    /// Keys deleted.
    std::vector<std::string> deleted_;
};

Result<WatchLine, EtcdError> decodeWatchLine(const std::string &line, const std::string &prefix);

/// The platform's list; VMs of other kinds, without a name or an address are left out.
Result<VmList, EtcdError> decodeVmList(const std::string &body);

} // namespace eelgrasscove
