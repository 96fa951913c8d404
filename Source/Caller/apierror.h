#pragma once

/// Errors as callers see them: a stable code, and whether the request was run.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasscove {

enum class ApiErrorCode {
    BadRequest,
    KeyInRequest,
    KeyMissing,
    KeyUnknown,
    RouteNotFound,
    RouteForbidden,
    MethodNotAllowed,
    BodyTooLarge,
    HeaderTooLarge,
    CallerTooSlow,
    TooManyConnections,
    Overloaded,
    AllowanceExhausted,
    RequestLargerThanBurst,
    NoTarget,
    TargetsBusy,
    AdapterUnavailable,
    SuspectedKiller,
    Leaving,
    RulesUnavailable,
    RequestTimeout,
    OutcomeUnknown,
    IdempotencyKeyReused,
    RequestInProgress,
    ClaimUnavailable,
};

/// A code's name and its HTTP status.
struct ApiErrorRow
{
    ApiErrorCode code_;
    std::string_view name_;
    std::uint32_t status_;
};

const ApiErrorRow &apiErrorRow(ApiErrorCode code);

/// An error on its way to a caller.
struct ApiError
{
    ApiErrorCode code_ = ApiErrorCode::BadRequest;
    RunState run_ = RunState::NotRun;
    std::string message_;
    /// Seconds; 0 where no wait is known to help.
    std::uint32_t retryAfter_ = 0;
    /// Methods that the path takes, for MethodNotAllowed.
    std::string_view allow_;
};

/// {"error":{"code":…,"message":…,"run":…}}
std::string apiErrorBody(const ApiError &error);

} // namespace eelgrasscove
