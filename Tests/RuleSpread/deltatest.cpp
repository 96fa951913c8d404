#include "DataCentre/rulesdelta.h"
#include "ruledistributionsim.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace eelgrasscove;

namespace {

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

void changeAtRandom(std::vector<std::string> &lines, std::mt19937_64 &random)
{
    const std::size_t place = lines.empty() ? 0 : random() % lines.size();
    const auto at = lines.begin() + static_cast<std::ptrdiff_t>(place);
    switch (random() % 3) {
    case 0:
        lines.insert(at, "line " + std::to_string(random() % 20));
        break;
    case 1:
        if (!lines.empty())
            lines.erase(at);
        break;
    default:
        if (!lines.empty())
            *at = "line " + std::to_string(random() % 20);
    }
}

bool roundTrips(const std::string &before, const std::string &after)
{
    const RulesDelta delta = makeRulesDelta(before, after, {1}, {2});
    const Result<std::string, DeltaError> applied = applyRulesDelta(before, delta);
    return ok(applied) && valueOf(applied) == after;
}

} // namespace

BOOST_AUTO_TEST_CASE(delta_of_random_changes_reproduces_the_text)
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<std::string> lines;
        for (std::size_t line = random() % 40; line > 0; --line)
            lines.push_back("line " + std::to_string(random() % 20));
        const std::string before = joined(lines);
        for (std::size_t changes = random() % 12; changes > 0; --changes)
            changeAtRandom(lines, random);
        BOOST_REQUIRE_MESSAGE(roundTrips(before, joined(lines)), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(delta_reproduces_texts_without_line_ends_or_lines)
{
    BOOST_TEST(roundTrips("", "a"));
    BOOST_TEST(roundTrips("a", ""));
    BOOST_TEST(roundTrips("a\nb", "b\n"));
    BOOST_TEST(roundTrips("\n\n", "\n"));
}

BOOST_AUTO_TEST_CASE(delta_size_depends_on_the_change_not_on_the_file)
{
    const std::string before = sim::rulesText(20000, 7);
    const std::string after = sim::rulesText(20000, 12000);
    const RulesDelta delta = makeRulesDelta(before, after, {1}, {2});
    BOOST_TEST(delta.edits_.size() == 2U);
    BOOST_TEST(rulesDeltaBytes(delta) < 500U);
    BOOST_TEST(roundTrips(before, after));
}

BOOST_AUTO_TEST_CASE(delta_for_another_base_is_rejected)
{
    const RulesDelta delta = makeRulesDelta("a\nb\nc\n", "a\nc\nd\n", {1}, {2});
    const Result<std::string, DeltaError> shorter = applyRulesDelta("a", delta);
    BOOST_REQUIRE(!ok(shorter));
    BOOST_TEST((errorOf(shorter) == DeltaError::WrongBase));
    const Result<std::string, DeltaError> other = applyRulesDelta("x\nb\nc\n", delta);
    BOOST_REQUIRE(!ok(other));
    BOOST_TEST((errorOf(other) == DeltaError::WrongDigest));
}
