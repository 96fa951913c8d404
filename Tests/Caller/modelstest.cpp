#include "Caller/entry.h"
#include "Contract/rulefile.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrasscove;

namespace {

const std::string joinersDigest(64, 'a');
const std::string rulesText = "account joiners rate 1 burst 9  # W\n"
                              "account turners rate 1 burst 9  # W\n"
                              "key j account joiners digest "
    + joinersDigest
    + "  # W\n"
      "route oak account joiners adapter oak version 1 targets advice idempotent  # W\n"
      "route elm account turners adapter elm version 1 targets advice idempotent  # W\n"
      "route both account turners,joiners adapter oak version 1 targets advice idempotent  # W\n"
      "route help open adapter aid version 1 targets advice idempotent  # W\n"
      "route book account joiners service POST /book targets records non-idempotent  # W\n";

/// The answer of a ready entry to a caller that asks for its models.
ReplyWhole modelsFor(const std::string &digest, const std::string &requestId)
{
    Entry entry = makeEntry(VmSettings{}, {1}, EntryPolicy{}, Time{});
    auto rules = parseRules(rulesText, "rules", {1});
    BOOST_REQUIRE(ok(rules));
    entry.rules_ = valueOf(std::move(rules));
    entry.haveRules_ = true;
    entry.spread_.settled_ = true;
    CallerRequest call;
    call.kind_ = CallKind::Models;
    call.keyDigest_ = digest;
    call.callerRequestId_ = requestId;
    EntryActions actions;
    step(entry, std::move(call), Time{}, actions);
    BOOST_REQUIRE(actions.size() == 1U);
    return std::get<ReplyWhole>(std::get<CallerReply>(actions.front()));
}

struct ModelsCase
{
    std::string name_;
    std::string digest_;
    std::uint32_t status_;
    std::vector<std::string> models_;
};

const ModelsCase cases[] = {
    {"a key", joinersDigest, 200, {"both", "help", "oak"}},
    {"no key", "", 200, {"help"}},
    {"an unknown key", std::string(64, 'b'), 401, {}},
};

} // namespace

BOOST_AUTO_TEST_CASE(modelsAreThoseThatTheKeyMayUse)
{
    for (const ModelsCase &one : cases) {
        BOOST_TEST_CONTEXT(one.name_)
        {
            const ReplyWhole reply = modelsFor(one.digest_, "chair-7");
            BOOST_TEST(reply.status_ == one.status_);
            BOOST_TEST(reply.requestId_ == "chair-7");
            std::vector<std::string> models;
            const auto body = nlohmann::json::parse(reply.body_);
            for (const auto &model : body.value("data", nlohmann::json::array()))
                models.push_back(model["id"].get<std::string>());
            BOOST_TEST(models == one.models_, boost::test_tools::per_element());
        }
    }
    BOOST_TEST(!modelsFor(joinersDigest, "").requestId_.empty());
}
