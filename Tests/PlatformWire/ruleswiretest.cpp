#define BOOST_TEST_MODULE PlatformWire
#include "platform/ruleswire.h"

#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view rulesText = R"({"version":7,
"routes":[
 {"name":"r1","host":"Desk.Example","path_prefix":"/ask/","kind":"streaming","timeout_ms":12000,
  "target_latency_ms":500,"priority":2,"traffic_split":[{"service":"mind","weight":90},
  {"service":"ledger","weight":10}],"max_attempts":2,"public":false,"sticky":true,
  "resumable":true,"target_gap_ms":300},
 {"name":"r2","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
  "timeout_ms":2000,"service":"ledger","public":true}],
"services":[
 {"name":"mind","max_connections":360,"engine":{"slots":64,"kv_capacity":157442,
  "models":[{"name":"base","weights_mb":72700.0,"adapters":3000,"adapter_mb":66.0}],
  "weights_mb":75900.0,"adapter_slots":26}},
 {"name":"ledger","max_connections":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"shed","api_keys":["k1","k2"],"priority":1,"plain_tokens":200,
 "rate_per_s":130513,"burst":65000}]})";

/// More levels than a parser that calls itself for each of them can enter.
std::string deeplyNested(bool isClosed)
{
    constexpr std::size_t levels = 1'000'000;
    return std::string(levels, '[') + (isClosed ? std::string(levels, ']') : "");
}

} // namespace

BOOST_AUTO_TEST_CASE(rules_are_decoded_completely)
{
    const auto decoded = wire::decodeRules(rulesText);
    BOOST_REQUIRE(ok(decoded));
    const ServingRules &rules = valueOf(decoded);
    BOOST_TEST(rules.version_ == 7);
    BOOST_REQUIRE(rules.routes_.size() == 2);
    const ServingRoute &askRoute = rules.routes_[0];
    BOOST_TEST(askRoute.host_ == "desk.example");
    BOOST_TEST((askRoute.kind_ == RequestKind::Stream));
    BOOST_TEST((askRoute.timeout_ == 12s));
    BOOST_TEST((askRoute.objective_ == 500ms));
    BOOST_TEST((askRoute.pauseObjective_ == 300ms));
    BOOST_TEST(askRoute.mostTargets_ == 2);
    BOOST_TEST(askRoute.resumable_);
    BOOST_REQUIRE(askRoute.services_.size() == 2);
    BOOST_TEST(askRoute.services_[1].weight_ == 10);
    const ServingRoute &bookRoute = rules.routes_[1];
    BOOST_TEST((bookRoute.kind_ == RequestKind::NonIdempotent));
    BOOST_TEST(bookRoute.open_);
    BOOST_TEST(bookRoute.mostTargets_ == 1);
    BOOST_REQUIRE(rules.services_.size() == 2);
    BOOST_REQUIRE(rules.services_[0].engine_.has_value());
    BOOST_TEST(rules.services_[0].engine_->adapterSlots_ == 26);
    BOOST_TEST(rules.services_[0].engine_->models_.at(0).adapterMb_ == 66);
    BOOST_TEST(!rules.services_[1].engine_.has_value());
    BOOST_REQUIRE(rules.accounts_.size() == 1);
    BOOST_TEST(rules.accounts_[0].keys_.size() == 2);
    BOOST_TEST(rules.accounts_[0].priority_.value() == 1);
    BOOST_TEST(rules.accounts_[0].burstTokens_ == 65000);
    BOOST_TEST((rules.limits_.idleTime_ == 15s));
}

BOOST_AUTO_TEST_CASE(rules_without_a_version_are_rejected)
{
    BOOST_TEST(!ok(wire::decodeRules(R"({"routes":[]})")));
    BOOST_TEST(!ok(wire::decodeRules("[]")));
    BOOST_TEST(!ok(wire::decodeRules("{")));
}

BOOST_AUTO_TEST_CASE(homes_that_cannot_be_read_allow_no_other_region)
{
    struct Case
    {
        const char *value_;
        std::optional<AllowedRegions> regions_;
        std::size_t faults_;
    };
    const std::vector<Case> cases = {
        {"null", std::nullopt, 0},
        {"[]", std::nullopt, 0},
        {R"(["east","west"])", AllowedRegions{"east", "west"}, 0},
        {R"(["east",7,""])", AllowedRegions{"east"}, 2},
        {"[null]", AllowedRegions{}, 1},
        {R"("east")", AllowedRegions{}, 1},
        {"{}", AllowedRegions{}, 1},
    };
    for (const Case &each : cases) {
        const auto decoded = wire::decodeRules(
            fmt::format(R"({{"version":1,"routes":[{{"name":"r","allowed_regions":{0}}}],)"
                        R"("tenants":[{{"name":"t","allowed_regions":{0}}},{{"name":"u"}}]}})",
                        each.value_));
        BOOST_REQUIRE(ok(decoded));
        const ServingRules &rules = valueOf(decoded);
        BOOST_TEST((rules.routes_[0].allowedRegions_ == each.regions_), each.value_);
        BOOST_TEST((rules.accounts_[0].allowedRegions_ == each.regions_), each.value_);
        BOOST_TEST(!rules.accounts_[1].allowedRegions_.has_value());
        BOOST_TEST(rules.faultCount_ == 2 * each.faults_, each.value_);
    }
}

// Guards against a list of accounts without accounts being taken for a list that is missing.
BOOST_AUTO_TEST_CASE(accounts_that_are_listed_or_cannot_be_read_need_keys)
{
    struct Case
    {
        const char *member_;
        AccountList list_;
        bool needsKeys_;
        std::size_t keys_;
        std::size_t faults_;
    };
    const std::vector<Case> cases = {
        {"", AccountList::Missing, false, 0, 0},
        {R"(,"tenants":[])", AccountList::Empty, true, 0, 0},
        {R"(,"tenants":null)", AccountList::Null, true, 0, 1},
        {R"(,"tenants":{"name":"t","api_keys":["k"]})", AccountList::WrongType, true, 0, 1},
        {R"(,"tenants":[{"name":"t"}])", AccountList::Present, true, 0, 0},
        {R"(,"tenants":[{"name":"t","api_keys":["k"]}])", AccountList::Present, true, 1, 0},
        {R"(,"tenants":[{"name":"t","api_keys":["k","",7]}])", AccountList::Present, true, 1, 2},
        {R"(,"tenants":[{"api_keys":["k"]},{"name":7,"api_keys":["k"]},"t"])", AccountList::Present,
         true, 0, 3},
    };
    for (const Case &each : cases) {
        const auto decoded = wire::decodeRules(fmt::format(R"({{"version":1{}}})", each.member_));
        BOOST_REQUIRE(ok(decoded));
        const ServingRules &rules = valueOf(decoded);
        std::size_t keys = 0;
        for (const ServingAccount &account : rules.accounts_)
            keys += account.keys_.size();
        BOOST_TEST((rules.accountList_ == each.list_), each.member_);
        BOOST_TEST(needsKeys(rules) == each.needsKeys_, each.member_);
        BOOST_TEST(keys == each.keys_, each.member_);
        BOOST_TEST(rules.faultCount_ == each.faults_, each.member_);
    }
}

BOOST_AUTO_TEST_CASE(only_keys_of_evacuations_name_a_data_centre)
{
    BOOST_TEST((wire::evacuatedDataCentre("op/evacuate/leiden") == "leiden"));
    BOOST_TEST((wire::evacuatedDataCentre("op/evacuate/") == ""));
    for (const char *key : {"op/evacuate", "op/config", "op/version/m/a", "servers/op/evacuate/a"})
        BOOST_TEST(!wire::evacuatedDataCentre(key).has_value(), key);
}

BOOST_AUTO_TEST_CASE(target_is_decoded)
{
    const auto decoded = wire::decodeTarget(
        "i-1", R"({"service":"mind","address":"10.1.0.9:8080","zone":"leiden","slots":64,
        "state":"draining","born":1772388223625,"sequence":4,"version":"v1.1",
        "models":[{"name":"base","version":1,"adapters":["a17@2"]}]})");
    BOOST_REQUIRE(ok(decoded));
    const ListedTarget &target = valueOf(decoded);
    BOOST_TEST(target.id_ == "i-1");
    BOOST_TEST(target.draining_);
    BOOST_TEST(target.dataCentre_ == "leiden");
    BOOST_TEST(target.startedAt_ == 1772388223625U);
    BOOST_TEST(target.adapters_.at(0) == "base/a17@2");
    BOOST_TEST(target.softwareVersion_ == "v1.1");
}

BOOST_AUTO_TEST_CASE(target_whose_software_version_cannot_be_read_has_none)
{
    const std::string begin =
        R"({"service":"mind","address":"10.0.0.1:1","state":"ready","slots":4)";
    for (const char *rest : {"}", R"(,"version":7})", R"(,"version":null})", R"(,"version":""})"}) {
        const auto decoded = wire::decodeTarget("i-1", begin + rest);
        BOOST_REQUIRE(ok(decoded));
        BOOST_TEST(valueOf(decoded).softwareVersion_.empty(), rest);
    }
}

BOOST_AUTO_TEST_CASE(malformed_targets_are_rejected)
{
    for (const char *text :
         {"", "\xff\xfe", "7", R"({"service":"mind"})",
          R"({"service":"mind","address":7,"slots":1,"state":"ready"})",
          R"({"service":"mind","address":"10.0.0.1:1","slots":"many","state":"ready"})",
          R"({"service":"mind","address":"10.0.0.1:1","slots":4,"state":"asleep"})"})
        BOOST_TEST(!ok(wire::decodeTarget("i-1", text)), text);
}

BOOST_AUTO_TEST_CASE(target_with_a_field_out_of_range_or_of_another_type_is_rejected)
{
    const std::string begin = R"({"service":"mind","address":"10.0.0.1:1","state":"ready",)";
    BOOST_TEST(ok(wire::decodeTarget("i-1", begin + R"("slots":4,"born":7})")));
    BOOST_TEST(ok(wire::decodeTarget("i-1", begin + R"("slots":4,"models":null,"zone":null})")));
    for (const char *rest :
         {R"("slots":4294967296})", R"("slots":18446744073709551615})", R"("slots":1e300})",
          R"("slots":1180591620717411303424})", R"("slots":-1})", R"("slots":4.5})",
          R"("slots":1e999})", R"("slots":null})", R"("slots":4,"born":1e300})",
          R"("slots":4,"born":-1})", R"("slots":4,"born":"7"})",
          R"("slots":4,"born":18446744073709551615})", R"("slots":4,"models":7})",
          R"("slots":4,"models":[7]})", R"("slots":4,"models":[{"name":"m","adapters":{}}]})",
          R"("slots":4,"zone":[]})"})
        BOOST_TEST(!ok(wire::decodeTarget("i-1", begin + rest)), rest);
}

BOOST_AUTO_TEST_CASE(target_whose_id_is_no_header_value_is_rejected)
{
    const std::string text =
        R"({"service":"mind","address":"10.0.0.1:1","slots":4,"state":"ready"})";
    BOOST_TEST(ok(wire::decodeTarget("i-1", text)));
    for (const char *id : {"", "i 1", "i-1\r\nX-Mine: 1", "i-\xff", "i-\x7f"})
        BOOST_TEST(!ok(wire::decodeTarget(id, text)), id);
}

BOOST_AUTO_TEST_CASE(reason_for_ignoring_a_target_is_short)
{
    const auto decoded =
        wire::decodeTarget("i-1",
                           R"({"service":"mind","address":"10.0.0.1:1","slots":4,"state":")"
                               + std::string(100'000, 'x') + R"("})");
    BOOST_REQUIRE(!ok(decoded));
    BOOST_TEST(errorOf(decoded).message_.size() < 200);
}

BOOST_AUTO_TEST_CASE(deeply_nested_values_do_not_exhaust_the_stack)
{
    for (const bool isClosed : {false, true}) {
        const std::string nested = deeplyNested(isClosed);
        BOOST_TEST(!ok(wire::decodeTarget("i-1", nested)));
        BOOST_TEST(!ok(wire::decodeRules(nested)));
        BOOST_TEST(!ok(wire::decodeVersion(nested)));
        BOOST_TEST(!ok(wire::decodeTarget("i-1", R"({"service":)" + nested + "}")));
    }
}

BOOST_AUTO_TEST_CASE(numbers_of_the_rules_that_are_out_of_range_are_limited)
{
    for (const char *number : {"1e300", "9223372036854775807", "1180591620717411303424"}) {
        const auto decoded = wire::decodeRules(
            fmt::format(R"({{"version":7,"routes":[{{"name":"r","timeout_ms":{0},"priority":{0},)"
                        R"("max_attempts":{0}}}],"services":[{{"name":"s","max_connections":{0},)"
                        R"("engine":{{"slots":{0}}}}}],"limits":{{"idle_timeout_ms":{0}}}}})",
                        number));
        BOOST_REQUIRE(ok(decoded));
        const ServingRules &rules = valueOf(decoded);
        BOOST_TEST((rules.routes_[0].timeout_ >= 1h));
        BOOST_TEST((rules.routes_[0].timeout_ <= 24h));
        BOOST_TEST(rules.routes_[0].priority_ > 0);
        BOOST_TEST(rules.routes_[0].mostTargets_ > 0);
        BOOST_TEST(rules.services_[0].connections_ > 0);
        BOOST_TEST(rules.services_[0].engine_->slots_ > 0);
        BOOST_TEST((rules.limits_.idleTime_ >= 1h));
    }
    const auto decoded =
        wire::decodeRules(R"({"version":7,"routes":[{"name":"r","timeout_ms":-1e300}]})");
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST((valueOf(decoded).routes_[0].timeout_ == 0s));
}

BOOST_AUTO_TEST_CASE(adapter_version_is_decoded_and_model_version_is_rejected)
{
    const auto decoded = wire::decodeVersion(R"({"model":"base","adapter":"a17","version":3})");
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(valueOf(decoded).adapter_ == "base/a17");
    BOOST_TEST(valueOf(decoded).version_ == 3);
    BOOST_TEST(!ok(wire::decodeVersion(R"({"model":"base","version":3})")));
}

// Guards against a target whose whole list entry is lost because of its cold time, and one that
// counts as warm though its value is not understood.
BOOST_AUTO_TEST_CASE(remaining_cold_time_of_a_listed_target_is_decoded)
{
    const auto decode = [](const std::string &value) {
        const auto decoded = wire::decodeTarget(
            "i-1",
            R"({"service":"mind","address":"10.0.0.1:1","state":"ready","slots":4)" + value + "}");
        BOOST_REQUIRE_MESSAGE(ok(decoded), value);
        return valueOf(decoded).cold_;
    };
    const std::string name = R"(,"cold_left_ms":)";
    BOOST_TEST((decode("") == ColdStatement{}));
    BOOST_TEST((decode(name + "null") == ColdStatement{}));
    BOOST_TEST((decode(name + "0") == ColdStatement{ColdForm::Stated, 0s}));
    BOOST_TEST((decode(name + "5750") == ColdStatement{ColdForm::Stated, 5750ms}));
    BOOST_TEST((decode(name + "3600000") == ColdStatement{ColdForm::Stated, 1h}));
    for (const char *value :
         {"-1", "0.5", "3600001", "1e300", "18446744073709551615", R"("5")", "[]", "true"})
        BOOST_TEST((decode(name + value) == ColdStatement{ColdForm::Invalid, {}}), value);
}

// Guards against a limit of zero or without bound, and against rules that are lost because of it.
BOOST_AUTO_TEST_CASE(cold_limits_of_a_service_are_decoded)
{
    const auto decode = [](const std::string &members) {
        const auto decoded =
            wire::decodeRules(R"({"version":7,"services":[{"name":"s")" + members + "}]}");
        BOOST_REQUIRE_MESSAGE(ok(decoded), members);
        return valueOf(decoded).services_.at(0).cold_;
    };
    BOOST_TEST((decode(R"(,"cold_start_s":6.5,"cold_per_s":17)") == ColdLimits{6500ms, 17}));
    for (const char *members :
         {"", R"(,"cold_start_s":6)", R"(,"cold_per_s":17)", R"(,"cold_start_s":0,"cold_per_s":17)",
          R"(,"cold_start_s":6,"cold_per_s":0)", R"(,"cold_start_s":null,"cold_per_s":null)"})
        BOOST_TEST((decode(members) == ColdLimits{}), members);
    for (const char *members :
         {R"(,"cold_start_s":-6,"cold_per_s":17)", R"(,"cold_start_s":6,"cold_per_s":-1)",
          R"(,"cold_start_s":3601,"cold_per_s":17)", R"(,"cold_start_s":"6","cold_per_s":17)",
          R"(,"cold_start_s":6,"cold_per_s":1e300)", R"(,"cold_start_s":6,"cold_per_s":{})"})
        BOOST_TEST((decode(members) == ColdLimits{.isValid_ = false}), members);
}
