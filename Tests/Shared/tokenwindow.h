#pragma once

/// Tokens as targets ran them, and the most that any window of any length holds.

#include <eelgrasscove/time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace eelgrasscove {

/// Tokens that a target ran at one moment.
struct TokenRun
{
    Time at_;
    std::int64_t tokens_ = 0;
};

/// Most that any window exceeds rate * window by, in millionths of a token.
inline std::int64_t worstBurstMicroTokens(std::vector<TokenRun> runs, std::int64_t tokensPerSecond)
{
    constexpr std::int64_t microTokensPerToken = 1'000'000;
    std::stable_sort(runs.begin(), runs.end(), [](const TokenRun &left, const TokenRun &right) {
        return left.at_ < right.at_;
    });
    std::int64_t worst = 0;
    std::int64_t endingHere = 0;
    std::optional<Time> before;
    for (const TokenRun &run : runs) {
        const Duration gap = before ? Duration(run.at_ - *before) : Duration(0);
        endingHere = std::max<std::int64_t>(0, endingHere - gap.count() * tokensPerSecond);
        endingHere += run.tokens_ * microTokensPerToken;
        worst = std::max(worst, endingHere);
        before = run.at_;
    }
    return worst;
}

} // namespace eelgrasscove
