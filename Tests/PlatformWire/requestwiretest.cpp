#include "platform/requestwire.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

HttpHead headWith(std::vector<HttpHeader> headers)
{
    HttpHead head;
    head.headers_ = std::move(headers);
    head.headers_.push_back({"X-Eelgrasscove-Request-Id", "r1"});
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(sound_request_headers_have_no_fault)
{
    const std::vector<std::vector<HttpHeader>> rows = {
        {},
        {{"X-Eelgrasscove-Token-Usage", "1460,80"}},
        {{"x-eelgrasscove-token-usage", " 0 , 0 "}},
        {{"X-Eelgrasscove-Token-Usage", "1000000000,1"}},
        {{"X-Eelgrasscove-Deadline-Remaining", "12000"}},
        {{"X-Mine", "a"}, {"X-Mine", "b"}, {"Accept", "a\tb"}},
        {{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}},
        {{"X-Eelgrasscove-Tenant-Name", "other"}},
    };
    for (const auto &headers : rows) {
        const auto fault = wire::headFault(headWith(headers));
        BOOST_TEST(!fault, fault.value_or(""));
    }
}

BOOST_AUTO_TEST_CASE(number_out_of_range_is_a_fault_that_names_header_and_range)
{
    for (const char *text :
         {"nan,1", "1,nan", "inf,1", "1,-inf", "-1,1", "1,-1", "1e400,1", "1e3,1", "", ",", "1,",
          ",1", "1", "1,2,3", "1;2", "0x10,1", "+1,1", "1000000001,1", "1,99999999999999999999"}) {
        const auto fault = wire::headFault(headWith({{"X-Eelgrasscove-Token-Usage", text}}));
        BOOST_REQUIRE_MESSAGE(fault, text);
        BOOST_TEST(fault->find("X-Eelgrasscove-Token-Usage") != std::string::npos);
        BOOST_TEST(fault->find("1000000000") != std::string::npos);
    }
    for (const char *text : {"nan", "-1", "", "1e9", "soon", "12000 ms", "999999999999"}) {
        const auto fault = wire::headFault(headWith({{"X-Eelgrasscove-Deadline-Remaining", text}}));
        BOOST_REQUIRE_MESSAGE(fault, text);
        BOOST_TEST(fault->find("X-Eelgrasscove-Deadline-Remaining") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(header_that_could_pass_as_one_of_the_system_is_a_fault)
{
    const std::vector<std::vector<HttpHeader>> rows = {
        {{"X-Eelgrasscove-Tenant-Name ", "barn"}},
        {{"X-Eelgrasscove-Tenant-Name\t", "barn"}},
        {{"", "barn"}},
        {{"X-Mine", std::string("a\0b", 3)}},
        {{"X-Mine", "a\x0b"}},
        {{"X-Mine", "a\rX-Eelgrasscove-Tenant-Name: barn"}},
        {{"X-Eelgrasscove-Tenant-Name", "a"}, {"x-eelgrasscove-tenant-name", "b"}},
        {{"X-Eelgrasscove-Request-Id", "r2"}},
        {{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}},
        {{"Host", "a"}, {"Host", "b"}},
        {{"Connection", "close, X-Eelgrasscove-Request-Id"}},
        {{"Connection", "close"}, {"Connection", "Authorization"}},
        {{"Connection", "kv-from"}},
        {{"Resumes", "a"}, {"resumes", "b"}},
        {{"Connection", "Resumes"}},
    };
    for (const auto &headers : rows)
        BOOST_TEST(wire::headFault(headWith(headers)).has_value(),
                   headers.back().name_ << ": " << headers.back().value_);
}

BOOST_AUTO_TEST_CASE(key_is_the_credentials_of_the_bearer_scheme)
{
    const std::vector<std::pair<const char *, std::string_view>> rows = {
        {"Bearer k1", "k1"},
        {"bearer k1", "k1"},
        {"BEARER  k1 ", "k1"},
        {"Bearer", ""},
        {"Bearer ", ""},
        {"Bearerk1", ""},
        {"Basic azE6", ""},
        {"k1", ""},
        {"", ""},
        {"Bearer k1 k2", "k1 k2"},
    };
    for (const auto &[value, key] : rows) {
        const HttpHead head = headWith({{"authorization", value}});
        BOOST_TEST(wire::decodeKey(head) == key, value);
    }
    BOOST_TEST(wire::decodeKey(headWith({})).empty());
}

BOOST_AUTO_TEST_CASE(request_that_names_a_last_event_takes_a_stream_up)
{
    const auto resumption =
        wire::decodeResumption(headWith({{"last-event-id", "12"}, {"resumes", " 9c41 "}}));
    BOOST_REQUIRE(resumption.has_value());
    BOOST_TEST(resumption->lastEventId_ == "12");
    BOOST_TEST(resumption->firstRequestId_ == "9c41");
    const auto unnamed = wire::decodeResumption(headWith({{"Last-Event-Id", "12"}}));
    BOOST_REQUIRE(unnamed.has_value());
    BOOST_TEST(unnamed->firstRequestId_.empty());
    BOOST_TEST(!wire::decodeResumption(headWith({{"Resumes", "9c41"}})).has_value());
    BOOST_TEST(!wire::decodeResumption(headWith({{"Last-Event-Id", " "}})).has_value());
}
