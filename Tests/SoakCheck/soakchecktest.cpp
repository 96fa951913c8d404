#define BOOST_TEST_MODULE SoakCheck
#include "../Soak/record.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace soak;

namespace {

const Time begun = Time(100s);

/// A sound record of one request that may run once.
Record soundRecord()
{
    Record record;
    record.accountOfKey_ = {{"k1", "shed"}, {"k2", "barn"}};
    record.calmAt_ = begun;
    for (int number = 0; number < 10; ++number) {
        const std::string id = "r" + std::to_string(number);
        record.asked_[id] = {"k1", true, false, begun + 10s, begun + 10100ms,
                             200,  true, true,  "body"};
        record.ran_[id] = {{"i-1", "shed", false, begun + 10s, "body"}};
    }
    return record;
}

void breaksWhen(const std::string &promise, const std::function<void(Record &)> &doctor)
{
    Record record = soundRecord();
    doctor(record);
    const std::vector<std::string> broken = brokenPromises(record);
    BOOST_TEST(!broken.empty(), promise);
    if (!broken.empty())
        BOOST_TEST(broken.front().starts_with(promise), broken.front());
}

} // namespace

BOOST_AUTO_TEST_CASE(a_sound_record_breaks_nothing)
{
    BOOST_TEST(brokenPromises(soundRecord()).empty());
}

BOOST_AUTO_TEST_CASE(each_promise_is_seen_broken_in_a_doctored_record)
{
    breaksWhen("at most once",
               [](Record &record) { record.ran_["r1"].push_back(record.ran_["r1"][0]); });
    breaksWhen("\"not run\" is true", [](Record &record) { record.asked_["r1"].status_ = 503; });
    breaksWhen("whole answers", [](Record &record) { record.asked_["r1"].body_ = "bod"; });
    breaksWhen("whole answers", [](Record &record) { record.asked_["r1"].signed_ = false; });
    breaksWhen("keys end", [](Record &record) { record.ran_["r1"][0].keyPassedOn_ = true; });
    breaksWhen("the key's account", [](Record &record) { record.ran_["r1"][0].account_ = "barn"; });
    breaksWhen("withdrawn keys", [](Record &record) { record.withdrawnAt_["k1"] = begun + 7s; });
    breaksWhen("leaving targets", [](Record &record) { record.leftAt_["i-1"] = begun + 7s; });
    breaksWhen("an answer in time",
               [](Record &record) { record.asked_["r1"].endedAt_ = begun + 20s; });
    breaksWhen("nothing that no client sent",
               [](Record &record) { record.ran_["forged"] = record.ran_["r1"]; });
    breaksWhen("processes stay", [](Record &record) { record.endedThemselves_ = 1; });
    breaksWhen("recovery", [](Record &record) {
        for (auto &[id, asked] : record.asked_)
            asked.status_ = 502;
    });
    // A withdrawal afterwards excuses nothing.
    breaksWhen("recovery", [](Record &record) {
        record.withdrawnAt_["k1"] = begun + 20s;
        for (auto &[id, asked] : record.asked_)
            asked.status_ = 502;
    });
}
