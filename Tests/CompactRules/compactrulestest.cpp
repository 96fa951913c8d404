#define BOOST_TEST_MODULE CompactRules
#include "Contract/compactrules.h"

#include "Contract/rulefile.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <random>

using namespace eelgrasscove;

namespace {

std::string digestOf(std::size_t number)
{
    return fmt::format("{:064x}", number * 0x9e3779b97f4a7c15U);
}

/// Accounts, keys and routes of each kind, with comments, blank lines and indentation.
std::string ruleFile(std::size_t routes)
{
    std::string text = "# The shops.\n\naccount a rate 100 burst 500 # Jan\n"
                       "account b rate 200 burst 900 # Jan\n";
    for (std::size_t number = 0; number < routes; ++number) {
        text += fmt::format("key k{} account {} digest {} # Piet\n", number,
                            number % 2 == 0 ? "a" : "b", digestOf(number));
        const char *users =
            number % 3 == 0 ? "open" : (number % 3 == 1 ? "account a" : "account a,b");
        text += number % 10 == 9
            ? fmt::format(
                "  route r{0} {1} service POST /p{0} targets ledger non-idempotent # Kees\n",
                number, users)
            : fmt::format("route r{0} {1} adapter leg-{0} version {2} targets advice idempotent "
                          "# Kees\n",
                          number, users, number % 7 + 1);
    }
    return text;
}

bool isSame(const RouteRule &left, const RouteRule &right)
{
    return left.route_ == right.route_ && left.kind_ == right.kind_
        && left.accounts_ == right.accounts_ && left.openToAll_ == right.openToAll_
        && left.idempotent_ == right.idempotent_ && left.targets_ == right.targets_
        && left.adapter_ == right.adapter_ && left.method_ == right.method_
        && left.pathPrefix_ == right.pathPrefix_;
}

bool isSame(const KeyRule &left, const KeyRule &right)
{
    return left.id_ == right.id_ && left.account_ == right.account_
        && left.digest_ == right.digest_;
}

} // namespace

BOOST_AUTO_TEST_CASE(lookup_in_index_returns_the_same_rules_as_a_full_parse)
{
    for (const std::size_t routes : {0U, 1U, 12U, 2000U}) {
        const std::string text = ruleFile(routes);
        const auto parsed = parseRules(text, "rules", {3});
        BOOST_REQUIRE(ok(parsed));
        const Rules &whole = valueOf(parsed);
        const CompactRules compact = indexRules(std::make_shared<const std::string>(text), {3});
        BOOST_TEST(compact.revision_.value_ == 3U);
        BOOST_TEST(compact.accounts_.size() == whole.accounts_.size());
        BOOST_TEST(compact.services_.size() == routes / 10);
        for (const auto &[name, route] : whole.routes_) {
            const std::optional<RouteRule> found = findRoute(compact, name);
            BOOST_REQUIRE_MESSAGE(found && isSame(*found, route), name.text_);
        }
        for (const auto &[id, key] : whole.keys_) {
            const std::optional<KeyRule> byId = findKey(compact, id);
            const std::optional<KeyRule> byDigest = findKeyByDigest(compact, key.digest_);
            BOOST_REQUIRE_MESSAGE(byId && isSame(*byId, key), id.text_);
            BOOST_REQUIRE_MESSAGE(byDigest && isSame(*byDigest, key), id.text_);
        }
    }
}

BOOST_AUTO_TEST_CASE(lookup_of_undeclared_names_returns_nothing)
{
    const CompactRules compact = indexRules(std::make_shared<const std::string>(ruleFile(50)), {1});
    BOOST_TEST(!findRoute(compact, {"r50"}));
    BOOST_TEST(!findRoute(compact, {""}));
    BOOST_TEST(!findRoute(compact, {"k1"}));
    BOOST_TEST(!findKey(compact, {"r1"}));
    BOOST_TEST(!findKeyByDigest(compact, digestOf(999)));
    BOOST_TEST(!findRoute(CompactRules(), {"r1"}));
}
