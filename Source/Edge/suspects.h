#pragma once

/// Requests that may crash the targets that begin to run them. Counted over all entries, as the
/// same request comes again at any of them. Pure.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct Suspect
{
    /// Crashes that this entry saw, and the most that a peer told of.
    std::uint32_t seen_ = 0;
    std::uint32_t told_ = 0;
    Time lastAt_;
};

struct Suspects
{
    std::unordered_map<std::uint64_t, Suspect> requests_;
};

/// The same for each repetition of a request: of its path, caller and body.
std::uint64_t suspectHash(std::string_view path, std::string_view caller, std::string_view body);

void countCrash(Suspects &suspects, std::uint64_t request, Time now);
void hearCrashes(Suspects &suspects, std::uint64_t request, std::uint32_t crashes, Time now);

/// Whether the request is refused: it was running at so many crashes that chance doesn't explain
/// it.
bool isCrasher(const Suspects &suspects, std::uint64_t request);

/// Forgets requests whose last crash is long past.
void expireSuspects(Suspects &suspects, Time now);

} // namespace eelgrasscove
