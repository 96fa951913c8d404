#include "Caller/apierror.h"

#include "Observe/log.h"

#include <array>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

constexpr std::array apiErrorRows = {
    ApiErrorRow{ApiErrorCode::BadRequest, "bad_request", 400},
    ApiErrorRow{ApiErrorCode::KeyInRequest, "key_in_request", 400},
    ApiErrorRow{ApiErrorCode::KeyMissing, "key_missing", 401},
    ApiErrorRow{ApiErrorCode::KeyUnknown, "key_unknown", 401},
    ApiErrorRow{ApiErrorCode::RouteNotFound, "route_not_found", 404},
    ApiErrorRow{ApiErrorCode::RouteForbidden, "route_forbidden", 403},
    ApiErrorRow{ApiErrorCode::MethodNotAllowed, "method_not_allowed", 405},
    ApiErrorRow{ApiErrorCode::BodyTooLarge, "body_too_large", 413},
    ApiErrorRow{ApiErrorCode::HeaderTooLarge, "header_too_large", 431},
    ApiErrorRow{ApiErrorCode::CallerTooSlow, "caller_too_slow", 408},
    ApiErrorRow{ApiErrorCode::TooManyConnections, "too_many_connections", 503},
    ApiErrorRow{ApiErrorCode::Overloaded, "overloaded", 503},
    ApiErrorRow{ApiErrorCode::AllowanceExhausted, "allowance_exhausted", 429},
    ApiErrorRow{ApiErrorCode::RequestLargerThanBurst, "request_larger_than_burst", 400},
    ApiErrorRow{ApiErrorCode::NoTarget, "no_target", 503},
    ApiErrorRow{ApiErrorCode::TargetsBusy, "targets_busy", 503},
    ApiErrorRow{ApiErrorCode::AdapterUnavailable, "adapter_unavailable", 503},
    ApiErrorRow{ApiErrorCode::SuspectedKiller, "suspected_killer", 422},
    ApiErrorRow{ApiErrorCode::Leaving, "leaving", 503},
    ApiErrorRow{ApiErrorCode::RulesUnavailable, "rules_unavailable", 503},
    ApiErrorRow{ApiErrorCode::RequestTimeout, "request_timeout", 504},
    ApiErrorRow{ApiErrorCode::OutcomeUnknown, "outcome_unknown", 502},
    ApiErrorRow{ApiErrorCode::IdempotencyKeyReused, "idempotency_key_reused", 422},
    ApiErrorRow{ApiErrorCode::RequestInProgress, "request_in_progress", 409},
    ApiErrorRow{ApiErrorCode::ClaimUnavailable, "claim_unavailable", 503},
};

} // namespace

const ApiErrorRow &apiErrorRow(ApiErrorCode code)
{
    for (const ApiErrorRow &row : apiErrorRows) {
        if (row.code_ == code)
            return row;
    }
    return apiErrorRows.front();
}

std::string apiErrorBody(const ApiError &error)
{
    return fmt::format(R"({{"error":{{"code":"{}","message":"{}","run":"{}"}}}})",
                       apiErrorRow(error.code_).name_, escapeJson(error.message_),
                       nameOf(runStateNames, error.run_));
}

} // namespace eelgrasscove
