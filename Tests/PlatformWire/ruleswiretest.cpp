#define BOOST_TEST_MODULE PlatformWire
#include "platform/ruleswire.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_CASE(target_is_decoded)
{
    const auto decoded = wire::decodeTarget(
        "i-1", R"({"service":"mind","address":"10.1.0.9:8080","zone":"leiden","slots":64,
        "state":"draining","born":1772388223625,"sequence":4,
        "models":[{"name":"base","version":1,"adapters":["a17@2"]}]})");
    BOOST_REQUIRE(ok(decoded));
    const ListedTarget &target = valueOf(decoded);
    BOOST_TEST(target.id_ == "i-1");
    BOOST_TEST(target.draining_);
    BOOST_TEST(target.dataCentre_ == "leiden");
    BOOST_TEST(target.startedAt_ == 1772388223625U);
    BOOST_TEST(target.adapters_.at(0) == "base/a17@2");
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

BOOST_AUTO_TEST_CASE(adapter_version_is_decoded_and_model_version_is_rejected)
{
    const auto decoded = wire::decodeVersion(R"({"model":"base","adapter":"a17","version":3})");
    BOOST_REQUIRE(ok(decoded));
    BOOST_TEST(valueOf(decoded).adapter_ == "base/a17");
    BOOST_TEST(valueOf(decoded).version_ == 3);
    BOOST_TEST(!ok(wire::decodeVersion(R"({"model":"base","version":3})")));
}
