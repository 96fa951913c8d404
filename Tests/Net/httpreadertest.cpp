#define BOOST_TEST_MODULE Net
#include "Net/httpreader.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace eelgrasscove;

namespace {

/// Collects the output of a reader.
struct CollectingReader
{
    explicit CollectingReader(HttpKind kind, std::size_t maxHeadBytes = 4096)
        : reader_(kind, maxHeadBytes,
                  {[this](HttpHead &&head) { head_ = std::move(head); },
                   [this](std::string_view bytes) { body_ += bytes; },
                   [this] { ++completeCount_; }})
    { }

    HttpHead head_;
    std::string body_;
    int completeCount_ = 0;
    HttpReader reader_;
};

} // namespace

BOOST_AUTO_TEST_CASE(request_is_parsed_in_pieces_of_any_size)
{
    const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: desk\r\nX-One: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        CollectingReader collector(HttpKind::Request);
        for (std::size_t at = 0; at < text.size(); at += pieceSize)
            collector.reader_.feed(std::string_view(text).substr(at, pieceSize));
        BOOST_TEST(collector.completeCount_ == 1);
        BOOST_TEST(collector.head_.method_ == "POST");
        BOOST_TEST(collector.head_.target_ == "/a/b?c");
        BOOST_TEST(collector.head_.header("x-one") == "1");
        BOOST_TEST(collector.body_ == "abcde");
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_message_are_not_consumed)
{
    CollectingReader collector(HttpKind::Response);
    const std::string_view text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200";
    const std::size_t consumed = collector.reader_.feed(text);
    BOOST_TEST(collector.completeCount_ == 1);
    BOOST_TEST(text.substr(consumed) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(content_length_with_chunked_encoding_is_malformed)
{
    CollectingReader collector(HttpKind::Request);
    collector.reader_.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    BOOST_TEST((collector.reader_.state() == HttpReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(response_without_length_is_complete_at_end_of_connection)
{
    CollectingReader collector(HttpKind::Response);
    collector.reader_.feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    BOOST_TEST(collector.completeCount_ == 0);
    collector.reader_.finish();
    BOOST_TEST(collector.completeCount_ == 1);
    BOOST_TEST(collector.body_ == "part");
}

BOOST_AUTO_TEST_CASE(response_shorter_than_its_length_is_malformed)
{
    CollectingReader collector(HttpKind::Response);
    collector.reader_.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    collector.reader_.finish();
    BOOST_TEST(collector.completeCount_ == 0);
    BOOST_TEST((collector.reader_.state() == HttpReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(head_above_size_limit_is_reported_as_too_long)
{
    CollectingReader collector(HttpKind::Request, 100);
    collector.reader_.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    BOOST_TEST((collector.reader_.state() == HttpReadState::Malformed));
    BOOST_TEST(collector.reader_.isHeadTooLong());
}

BOOST_AUTO_TEST_CASE(reader_parses_consecutive_messages_after_reset)
{
    CollectingReader collector(HttpKind::Response);
    for (int message = 1; message <= 3; ++message) {
        collector.reader_.feed("HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n");
        BOOST_TEST(collector.completeCount_ == message);
        BOOST_TEST(collector.head_.keepAlive_);
        collector.reader_.reset();
    }
}
