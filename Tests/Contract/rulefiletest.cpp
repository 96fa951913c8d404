#define BOOST_TEST_MODULE Contract
#include "Contract/rulefile.h"

#include "Contract/keydigest.h"
#include "Contract/rulequery.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace eelgrasscove;

namespace {

std::string readFile(const std::string &name)
{
    std::ifstream file(std::string(FEATURE_FOLDER) + "/" + name);
    BOOST_REQUIRE_MESSAGE(file.good(), name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Rules goodRules()
{
    auto result = parseRules(readFile("good.rules"), "good.rules", Revision{7});
    if (!ok(result))
        BOOST_FAIL(describeRuleErrors(errorOf(result)));
    return valueOf(std::move(result));
}

std::string routeNameOf(const RouteRule *route)
{
    return route == nullptr ? "none" : route->route_.text_;
}

} // namespace

BOOST_AUTO_TEST_CASE(parse_reads_every_kind_of_rule)
{
    const Rules rules = goodRules();
    BOOST_TEST(rules.revision_.value_ == 7U);
    BOOST_TEST(rules.accounts_.at({"joiners"}).burstTokens_ == 6000);
    BOOST_TEST(rules.keys_.at({"joiners-1"}).account_.text_ == "joiners");
    const RouteRule &advice = rules.routes_.at({"oak-legs"});
    BOOST_TEST(engineModelName(advice.adapter_) == "oak-legs@3");
    BOOST_TEST(advice.accounts_.size() == 2U);
    BOOST_TEST(advice.idempotent_);
    BOOST_TEST(!rules.routes_.at({"register"}).idempotent_);
}

BOOST_AUTO_TEST_CASE(parse_reports_all_errors_with_position_and_remedy)
{
    const auto result = parseRules(readFile("faulty.rules"), "faulty.rules", Revision{1});
    BOOST_REQUIRE(!ok(result));
    BOOST_TEST(describeRuleErrors(errorOf(result)) == readFile("faulty.expected"));
}

BOOST_AUTO_TEST_CASE(empty_file_is_a_valid_revision_without_rules)
{
    BOOST_TEST(ok(parseRules("", "empty", Revision{1})));
    BOOST_TEST(ok(parseRules("# only a comment\n\n", "empty", Revision{1})));
}

BOOST_AUTO_TEST_CASE(key_is_found_only_by_the_digest_under_the_same_secret)
{
    const std::string secret = "0123456789abcdef";
    const auto key = generateKey();
    BOOST_REQUIRE(ok(key));
    const std::string digest = keyDigest(secret, valueOf(key));
    const std::string text =
        "account a rate 1 burst 1 # x\nkey k account a digest " + digest + " # x\n";
    const auto rules = parseRules(text, "keys", Revision{1});
    BOOST_REQUIRE(ok(rules));
    BOOST_REQUIRE(findKeyRule(valueOf(rules), digest) != nullptr);
    BOOST_TEST(findKeyRule(valueOf(rules), digest)->account_.text_ == "a");
    BOOST_TEST(findKeyRule(valueOf(rules), keyDigest("another secret..", valueOf(key))) == nullptr);
}

BOOST_AUTO_TEST_CASE(key_digest_is_hmac_sha256)
{
    // Test case 2 of RFC 4231.
    BOOST_TEST(keyDigest("Jefe", "what do ya want for nothing?")
               == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(service_route_is_the_most_specific_match)
{
    const Rules rules = goodRules();
    const AccountName joiners{"joiners"};
    const AccountName turners{"turners"};
    const auto chosen = [&rules](std::string_view method, std::string_view path,
                                 const AccountName &account) {
        return routeNameOf(findServiceRoute(rules, method, path, account));
    };
    BOOST_TEST(chosen("GET", "/records", joiners) == "lookup");
    BOOST_TEST(chosen("GET", "/records/17?full=1", joiners) == "lookup");
    BOOST_TEST(chosen("GET", "/recordsx", joiners) == "none");
    BOOST_TEST(chosen("POST", "/records/certificates/new", joiners) == "register");
    BOOST_TEST(chosen("POST", "/records/certificates/new", turners) == "register-turners");
    BOOST_TEST(chosen("POST", "/records/other", joiners) == "records");
    BOOST_TEST(chosen("GET", "/public/hours", {}) == "hours");
    BOOST_TEST(chosen("DELETE", "/public/hours", {}) == "none");
    BOOST_TEST(canUse(*findServiceRoute(rules, "GET", "/public"), {}));
    BOOST_TEST(!canUse(*findServiceRoute(rules, "GET", "/records"), {}));
}

BOOST_AUTO_TEST_CASE(ambiguous_paths_have_no_service_route)
{
    const Rules rules = goodRules();
    for (const char *path :
         {"/public/../records", "/public/%2E%2e/records", "/public//x", "/public/./x",
          "/public/a%2fb", "/public\\x", "public", "", "/public/.."})
        BOOST_TEST(routeNameOf(findServiceRoute(rules, "GET", path)) == "none", path);
    BOOST_TEST(routeNameOf(findServiceRoute(rules, "GET", "/public/")) == "hours");
}

BOOST_AUTO_TEST_CASE(adapter_route_is_found_by_name_and_restricted_to_its_accounts)
{
    const Rules rules = goodRules();
    const RouteRule *route = findAdapterRoute(rules, {"oak-legs"});
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(canUse(*route, {"joiners"}));
    BOOST_TEST(!canUse(*route, {"growers"}));
    BOOST_TEST(!canUse(*route, {}));
    BOOST_TEST(findAdapterRoute(rules, {"register"}) == nullptr);
    BOOST_TEST(findAdapterRoute(rules, {"nothing"}) == nullptr);
}
