#include "platform/responsewire.h"
#include "platform/wirenames.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

HttpHead responseWith(const std::vector<HttpHeader> &headers)
{
    HttpHead head;
    head.status_ = 503;
    head.headers_ = headers;
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(responsewire)

BOOST_AUTO_TEST_CASE(only_the_value_1_says_that_a_target_leaves)
{
    for (const char *value : {"1", " 1", "1\t"})
        BOOST_TEST(wire::isLeaving(responseWith({{"server-leaving", value}})), value);
    for (const char *value : {"", "0", "2", "11", "1.0", "-1", "true", "yes", "1, 0"})
        BOOST_TEST(!wire::isLeaving(responseWith({{"Server-Leaving", value}})), value);
    BOOST_TEST(!wire::isLeaving(responseWith({{"Server", "1"}, {"Leaving", "1"}})));
    BOOST_TEST(!wire::isLeaving(responseWith({})));
}

BOOST_AUTO_TEST_CASE(one_of_several_headers_is_enough_to_say_that_a_target_leaves)
{
    BOOST_TEST(wire::isLeaving(responseWith({{"Server-Leaving", "0"}, {"Server-Leaving", "1"}})));
}

BOOST_AUTO_TEST_CASE(each_form_of_a_retry_after_has_its_meaning)
{
    using wire::RetryAfterForm;
    struct Row
    {
        std::string value_;
        RetryAfterForm form_;
        Duration delay_;
    };
    const std::vector<Row> rows = {
        {"1", RetryAfterForm::Seconds, 1s},
        {" 2 ", RetryAfterForm::Seconds, 2s},
        {"0.25", RetryAfterForm::Seconds, 250ms},
        {"1.", RetryAfterForm::Seconds, 1s},
        {"0.0000001", RetryAfterForm::Seconds, 1us},
        {"3600", RetryAfterForm::Seconds, 1h},
        {"3600.1", RetryAfterForm::Capped, 1h},
        {"99999999999999999999", RetryAfterForm::Capped, 1h},
        {std::string(400, '9'), RetryAfterForm::Capped, 1h},
        {"0", RetryAfterForm::Zero, 0s},
        {"0.0", RetryAfterForm::Zero, 0s},
        {"0." + std::string(400, '0') + "1", RetryAfterForm::Zero, 0s},
        {"-1", RetryAfterForm::Negative, 0s},
        {"-0.5", RetryAfterForm::Negative, 0s},
        {"", RetryAfterForm::Unreadable, 0s},
        {"soon", RetryAfterForm::Unreadable, 0s},
        {"1s", RetryAfterForm::Unreadable, 0s},
        {"1e3", RetryAfterForm::Unreadable, 0s},
        {"1, 2", RetryAfterForm::Unreadable, 0s},
        {".5", RetryAfterForm::Unreadable, 0s},
        {"+1", RetryAfterForm::Unreadable, 0s},
        {"--1", RetryAfterForm::Unreadable, 0s},
        {"inf", RetryAfterForm::Unreadable, 0s},
        {"nan", RetryAfterForm::Unreadable, 0s},
        {"-inf", RetryAfterForm::Unreadable, 0s},
        {"Fri, 31 Dec 2027 23:59:59 GMT", RetryAfterForm::Unreadable, 0s},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.value_)
        {
            const auto decoded =
                wire::decodeRetryAfter(responseWith({{"retry-after", row.value_}}));
            BOOST_TEST(nameOf(wire::retryAfterFormNames, decoded.form_)
                       == nameOf(wire::retryAfterFormNames, row.form_));
            BOOST_TEST(decoded.delay_.count() == row.delay_.count());
        }
    }
    BOOST_TEST((wire::decodeRetryAfter(responseWith({})).form_ == RetryAfterForm::Absent));
}

BOOST_AUTO_TEST_CASE(longest_of_several_retry_after_headers_counts)
{
    const auto decoded = wire::decodeRetryAfter(responseWith({{"Retry-After", "2"},
                                                              {"Retry-After", "soon"},
                                                              {"Retry-After", "5"},
                                                              {"Retry-After", "1"}}));
    BOOST_TEST((decoded.form_ == wire::RetryAfterForm::Repeated));
    BOOST_TEST((decoded.delay_ == 5s));
}

// Guards against a cold target that is taken for a warm one because its header is not understood.
BOOST_AUTO_TEST_CASE(remaining_cold_time_is_a_whole_number_up_to_an_hour)
{
    const auto decode = [](const std::string &value) {
        return wire::decodeColdRemaining(responseWith({{"x-eelgrasscove-cold-remaining", value}}));
    };
    const std::vector<std::pair<std::string, Duration>> rows = {
        {"0", 0s}, {"1", 1ms}, {" 5750\t", 5750ms}, {"3600000", 1h}};
    for (const auto &[value, left] : rows)
        BOOST_TEST((decode(value) == ColdStatement{ColdForm::Stated, left}), value);
    for (const char *value : {"", "-1", "+1", "1.5", "1e3", "3600001", "99999999999999999999", "5s",
                              "0x10", "nan", "1, 2"})
        BOOST_TEST((decode(value) == ColdStatement{ColdForm::Invalid, {}}), value);
    BOOST_TEST((wire::decodeColdRemaining(responseWith({})).form_ == ColdForm::Absent));
    BOOST_TEST((wire::decodeColdRemaining(responseWith({{"X-Eelgrasscove-Cold-Remaining", "0"},
                                                        {"X-Eelgrasscove-Cold-Remaining", "0"}}))
                    .form_
                == ColdForm::Invalid));
}

BOOST_AUTO_TEST_CASE(load_is_read_only_if_every_figure_is_in_its_range)
{
    // Guards against a load of 0 that is read from a value which is not a number.
    struct Row
    {
        const char *value_;
        bool isValid_;
        std::uint32_t running_ = 0;
        std::uint32_t workTime_ = 0;
    };
    const std::vector<Row> rows = {
        {"3,4,64", true, 3, 0},
        {" 3,4,64\t", true, 3, 0},
        {"3,4,64,250", true, 3, 250},
        {"0,0,1,1", true, 0, 1},
        {"65535,65535,65535,10000", true, 65535, 10000},
        {"65536,0,64", false},
        {"0,65536,64", false},
        {"0,0,0", false},
        {"0,0,65536", false},
        {"0,0,64,0", false},
        {"0,0,64,10001", false},
        {"0,0,64,65535", false},
        {"0,0,64,", false},
        {"0,0,64,100,1", false},
        {"0,0,64x", false},
        {"0,0,64,100x", false},
        {"0,0,64,nan", false},
        {"", false},
        {"busy", false},
        {"3", false},
        {"3,4", false},
        {"3,,64", false},
        {",4,64", false},
        {"-1,4,64", false},
        {"+1,4,64", false},
        {"1.5,4,64", false},
        {"3, 4, 64", false},
        {"99999999999999999999,4,64", false},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.value_)
        {
            const wire::LoadHeader header =
                wire::decodeLoad(responseWith({{"x-eelgrasscove-instance-load", row.value_}}));
            BOOST_TEST(header.isPresent_);
            BOOST_REQUIRE_EQUAL(header.load_.has_value(), row.isValid_);
            if (!header.load_)
                continue;
            BOOST_TEST(header.load_->running_ == row.running_);
            BOOST_TEST(header.load_->workTimePercent_.value_or(0) == row.workTime_);
        }
    }
    BOOST_TEST(!wire::decodeLoad(responseWith({})).isPresent_);
    const std::string name(wire::loadHeader);
    BOOST_TEST(!wire::decodeLoad(responseWith({{name, "1,0,64"}, {name, "2,0,64"}})).load_);
}

BOOST_AUTO_TEST_SUITE_END()
