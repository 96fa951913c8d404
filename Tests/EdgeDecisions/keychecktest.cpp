#include "Edge/keycheck.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

ServingRules rulesWith(AccountList list, std::vector<ServingAccount> accounts = {})
{
    ServingRules rules;
    rules.accountList_ = list;
    rules.accounts_ = std::move(accounts);
    return rules;
}

} // namespace

// Guards against a key being accepted because the rules list no accounts.
BOOST_AUTO_TEST_CASE(only_the_key_of_an_account_is_accepted)
{
    struct Case
    {
        ServingRules rules_;
        const char *key_;
        KeyVerdict verdict_;
        bool dependsOnKeys_;
    };
    const ServingRules present = rulesWith(AccountList::Present, {{.name_ = "a", .keys_ = {"k"}}});
    std::vector<Case> cases = {
        {present, "k", KeyVerdict::Known, true},
        {present, "other", KeyVerdict::Unknown, true},
        {present, "", KeyVerdict::Missing, true},
        {rulesWith(AccountList::Missing), "k", KeyVerdict::Unknown, true},
        {rulesWith(AccountList::Missing), "", KeyVerdict::NotNeeded, false},
    };
    for (const AccountList list : {AccountList::Empty, AccountList::Null, AccountList::WrongType}) {
        cases.push_back({rulesWith(list), "k", KeyVerdict::Unknown, true});
        cases.push_back({rulesWith(list), "", KeyVerdict::Missing, true});
    }
    for (const Case &each : cases) {
        BOOST_TEST_CONTEXT(nameOf(accountListNames, each.rules_.accountList_)
                           << " with key \"" << each.key_ << "\"")
        {
            const RuleIndex rules(each.rules_);
            const ServingRoute closed;
            const ServingRoute open{.open_ = true};
            BOOST_TEST(nameOf(keyVerdictNames, judgeKey(rules, closed, each.key_))
                       == nameOf(keyVerdictNames, each.verdict_));
            BOOST_TEST(dependsOnKeys(rules.rules(), closed, each.key_) == each.dependsOnKeys_);
            BOOST_TEST((judgeKey(rules, open, each.key_) == KeyVerdict::OpenRoute));
            BOOST_TEST(!dependsOnKeys(rules.rules(), open, each.key_));
        }
    }
}
