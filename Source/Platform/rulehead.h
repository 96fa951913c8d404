#pragma once

/// How rule revisions stand in the key-value service. The head names the revisions kept, newest
/// last; each revision's text stands in chunks under keys of its own, which are written once.

#include <eelgrasscove/names.h>
#include <eelgrasscove/platform.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Key of the head.
constexpr const char *ruleHeadKey = "rules/head";

/// Marks of VMs that operators have drained stand under this prefix, so that one watch sees them
/// and the head.
constexpr const char *drainPrefix = "rules/drain/";

/// Bytes of text in one chunk; base64 and JSON keep it under the service's limit of 1 MB.
constexpr std::size_t chunkBytes = 512ULL * 1024;

/// Revisions kept.
constexpr std::size_t revisionsKept = 20;

/// One revision as the head names it.
struct RuleRecord
{
    Revision revision_;
    std::uint64_t chunks_ = 0;
    std::uint64_t bytes_ = 0;
    /// SHA-256 of the text, lower-case hex.
    std::string digest_;
    /// Random id of the one write that made the revision.
    std::string writeId_;
    /// Who made it, and what for.
    std::string who_;
    /// Seconds since 1970.
    std::int64_t atSeconds_ = 0;
};

/// The value of the head; empty before the first revision.
struct RuleHead
{
    std::vector<RuleRecord> records_;
};

struct RuleHeadError
{
    std::string message_;
};

std::string encodeRuleHead(const RuleHead &head);
Result<RuleHead, RuleHeadError> decodeRuleHead(const std::string &text);

/// The newest revision; null before the first.
const RuleRecord *newestRecord(const RuleHead &head);

/// The record of one revision; null where it isn't kept.
const RuleRecord *recordOf(const RuleHead &head, Revision revision);

/// "rules/REVISION/WRITEID-NUMBER"; the write id keeps two writers of one revision apart.
std::string chunkKey(const RuleRecord &record, std::uint64_t number);

std::vector<std::string> splitChunks(const std::string &text);

/// Reads for all chunks of a revision, in order.
std::vector<KvRead> chunkReads(const RuleRecord &record);

/// The text from the answers to chunkReads(), if it is whole.
Result<std::string, RuleHeadError> joinChunks(const RuleRecord &record,
                                              const std::vector<KvPair> &chunks);

} // namespace eelgrasscove
