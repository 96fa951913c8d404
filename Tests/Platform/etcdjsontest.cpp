#define BOOST_TEST_MODULE Platform
#include "Platform/etcdjson.h"

#include "Platform/base64.h"
#include "Platform/kvcall.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

/// base64 of "/e/a", "/e/b", "/e/p/" and "/e/p0".
const std::string prefix = "/e/";

HttpReply replied(std::uint32_t status, const std::string &body)
{
    return {HttpEnd::Replied, status, body, ""};
}

KvOperation conditionalWrite()
{
    KvOperation operation;
    operation.tag_ = 7;
    operation.conditions_ = {{"a", 0}};
    operation.writes_ = {{"a", "x", 12}, {"b", std::nullopt}};
    operation.reads_ = {{"p/", true}};
    return operation;
}

KvStatus statusOf(const KvOperation &operation, const HttpReply &reply)
{
    return outcomeOf(operation, prefix, reply).status_;
}

} // namespace

BOOST_AUTO_TEST_CASE(base64GoesBothWays)
{
    for (const std::string &bytes : {std::string(), std::string("f"), std::string("fo"),
                                     std::string("foo"), std::string("\0\xff\x80", 3)})
        BOOST_TEST(decodeBase64(encodeBase64(bytes)).value() == bytes);
    BOOST_TEST(encodeBase64("foob") == "Zm9vYg==");
    for (const char *wrong : {"Zm9v=", "Zm9", "Zm=v", "Zm9\n", "===="})
        BOOST_TEST(!decodeBase64(wrong).has_value(), wrong);
}

BOOST_AUTO_TEST_CASE(encodesAConditionalWrite)
{
    const EtcdCall call = encodeOperation(conditionalWrite(), prefix);
    BOOST_TEST(call.path_ == "/v3/kv/txn");
    BOOST_TEST(call.body_
               == R"({"compare":[{"key":"L2UvYQ==","mod_revision":"0","result":"EQUAL",)"
                  R"("target":"MOD"}],)"
                  R"("failure":[{"request_range":{"key":"L2UvcC8=","range_end":"L2UvcDA="}}],)"
                  R"("success":[{"request_put":{"key":"L2UvYQ==","lease":"12","value":"eA=="}},)"
                  R"({"request_delete_range":{"key":"L2UvYg=="}},)"
                  R"({"request_range":{"key":"L2UvcC8=","range_end":"L2UvcDA="}}]})");
}

BOOST_AUTO_TEST_CASE(encodesALeaseAndAWatch)
{
    KvOperation lease;
    lease.grantLeaseSeconds_ = 86400;
    BOOST_TEST(encodeOperation(lease, prefix).path_ == "/v3/lease/grant");
    BOOST_TEST(encodeOperation(lease, prefix).body_ == R"({"TTL":"86400"})");
    BOOST_TEST(encodeWatch({"a", "b"}, 9, prefix)
               == R"({"create_request":{"key":"L2UvYQ==","range_end":"L2UvYg==",)"
                  R"("start_revision":"9"}})");
    BOOST_TEST(endOfPrefix(std::string("a\xff")) == "b");
    BOOST_TEST(endOfPrefix(std::string("\xff")) == std::string(1, '\0'));
}

BOOST_AUTO_TEST_CASE(decodesASuccessWithItsReads)
{
    const std::string body =
        R"({"header":{"revision":"41"},"succeeded":true,"responses":[{"response_put":{}},)"
        R"({"response_range":{"kvs":[{"key":"L2UvcC94","value":"eA==","mod_revision":"40"}],)"
        R"("count":"1"}}]})";
    const KvOutcome outcome = outcomeOf(conditionalWrite(), prefix, replied(200, body));
    BOOST_TEST((outcome.status_ == KvStatus::Succeeded));
    BOOST_TEST(outcome.tag_ == 7U);
    BOOST_TEST(outcome.revision_ == 41);
    BOOST_REQUIRE(outcome.reads_.size() == 1U);
    BOOST_TEST(outcome.reads_[0].key_ == "p/x");
    BOOST_TEST(outcome.reads_[0].value_ == "x");
    BOOST_TEST(outcome.reads_[0].modRevision_ == 40);
}

BOOST_AUTO_TEST_CASE(classesOfOutcomeAreExact)
{
    const KvOperation write = conditionalWrite();
    BOOST_TEST((statusOf(write, {HttpEnd::NotSent, 0, "", "refused"}) == KvStatus::NotSent));
    BOOST_TEST((statusOf(write, {HttpEnd::NoReply, 0, "", "reset"}) == KvStatus::Unknown));
    BOOST_TEST((statusOf(write, replied(200, R"({"header":{"revision":"3"}})"))
                == KvStatus::ConditionFailed));
    BOOST_TEST((statusOf(write, replied(200, "{")) == KvStatus::Unknown));
    BOOST_TEST(
        (statusOf(write, replied(400, R"({"code":3,"message":"key"})")) == KvStatus::NotSent));
    BOOST_TEST((statusOf(write, replied(503, R"({"code":14,"message":"timed out"})"))
                == KvStatus::Unknown));
    BOOST_TEST((statusOf(write, replied(502, "<html>")) == KvStatus::Unknown));
    KvOperation free = write;
    free.conditions_.clear();
    BOOST_TEST(
        (statusOf(free, replied(200, R"({"header":{"revision":"3"}})")) == KvStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(malformedPairsAreNeverTakenForAnswers)
{
    const char *kvs[] = {R"({"key":"L2UvYQ==","value":"x"})",
                         R"({"key":"L290aGVy","value":"eA=="})",
                         R"({"key":"L2UvYQ==","value":"eA==","mod_revision":"1e9"})", "17"};
    for (const char *pair : kvs) {
        const std::string body = std::string(R"({"succeeded":true,"responses":[)")
            + R"({"response_range":{"kvs":[)" + pair + "]}}]}";
        BOOST_TEST((statusOf(conditionalWrite(), replied(200, body)) == KvStatus::Unknown), pair);
    }
}

BOOST_AUTO_TEST_CASE(decodesWatchLines)
{
    const std::string line = R"({"result":{"header":{"revision":"5"},"events":[)"
                             R"({"kv":{"key":"L2UvYQ==","value":"eA==","mod_revision":"5"}},)"
                             R"({"type":"DELETE","kv":{"key":"L2UvYg==","mod_revision":"5"}}]}})";
    const auto watch = decodeWatchLine(line, prefix);
    BOOST_REQUIRE(ok(watch));
    BOOST_TEST(valueOf(watch).written_.at(0).key_ == "a");
    BOOST_TEST(valueOf(watch).deleted_.at(0) == "b");
    const auto ended = decodeWatchLine(R"({"result":{"canceled":true}})", prefix);
    BOOST_TEST(valueOf(ended).cancelled_);
    BOOST_TEST(!ok(decodeWatchLine(R"({"error":{"message":"gone"}})", prefix)));
    BOOST_TEST(!ok(decodeWatchLine("[]", prefix)));
}

BOOST_AUTO_TEST_CASE(decodesTheVmListAndLeavesOutWhatItCannotUse)
{
    const std::string body =
        R"({"vms":[{"name":"t1","region":"r","data_centre":"d","role":"target",)"
        R"("address":"tcp://127.0.0.1:1","group":"advice","state":"leaving"},)"
        R"({"name":"e1","region":"r","data_centre":"d","role":"entry",)"
        R"("address":"tcp://127.0.0.1:2","state":"live"},)"
        R"({"name":"s1","role":"store","address":"tcp://127.0.0.1:3"},{"role":"entry"},4]})";
    const auto list = decodeVmList(body);
    BOOST_REQUIRE(ok(list));
    BOOST_REQUIRE(valueOf(list).vms_.size() == 2U);
    BOOST_TEST(valueOf(list).vms_[0].leaving_);
    BOOST_TEST(valueOf(list).vms_[0].group_.text_ == "advice");
    BOOST_TEST((valueOf(list).vms_[1].role_ == Role::Entry));
    BOOST_TEST(!ok(decodeVmList(R"({"vms":{}})")));
}
