#define BOOST_TEST_MODULE Net
#include "Net/httpreader.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace eelgrasscove;

namespace {

/// Collects what a reader tells.
struct Reading
{
    explicit Reading(HttpKind kind, std::size_t mostHeadBytes = 4096)
        : reader_(kind, mostHeadBytes,
                  {[this](HttpHead &&head) { head_ = std::move(head); },
                   [this](std::string_view bytes) { body_ += bytes; }, [this] { ++complete_; }})
    { }

    HttpHead head_;
    std::string body_;
    int complete_ = 0;
    HttpReader reader_;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_comes_in_any_pieces)
{
    const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: desk\r\nX-One: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        Reading reading(HttpKind::Request);
        for (std::size_t at = 0; at < text.size(); at += piece)
            reading.reader_.feed(std::string_view(text).substr(at, piece));
        BOOST_TEST(reading.complete_ == 1);
        BOOST_TEST(reading.head_.method_ == "POST");
        BOOST_TEST(reading.head_.target_ == "/a/b?c");
        BOOST_TEST(reading.head_.header("x-one") == "1");
        BOOST_TEST(reading.body_ == "abcde");
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_message_are_left)
{
    Reading reading(HttpKind::Answer);
    const std::string_view text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200";
    const std::size_t taken = reading.reader_.feed(text);
    BOOST_TEST(reading.complete_ == 1);
    BOOST_TEST(text.substr(taken) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(a_length_beside_chunks_is_refused)
{
    Reading reading(HttpKind::Request);
    reading.reader_.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    BOOST_TEST((reading.reader_.state() == HttpReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection)
{
    Reading reading(HttpKind::Answer);
    reading.reader_.feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    BOOST_TEST(reading.complete_ == 0);
    reading.reader_.finish();
    BOOST_TEST(reading.complete_ == 1);
    BOOST_TEST(reading.body_ == "part");
}

BOOST_AUTO_TEST_CASE(an_answer_shorter_than_its_length_is_never_complete)
{
    Reading reading(HttpKind::Answer);
    reading.reader_.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    reading.reader_.finish();
    BOOST_TEST(reading.complete_ == 0);
    BOOST_TEST((reading.reader_.state() == HttpReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(a_head_over_its_limit_is_told_apart)
{
    Reading reading(HttpKind::Request, 100);
    reading.reader_.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    BOOST_TEST((reading.reader_.state() == HttpReadState::Malformed));
    BOOST_TEST(reading.reader_.headTooLong());
}

BOOST_AUTO_TEST_CASE(one_reader_reads_message_after_message)
{
    Reading reading(HttpKind::Answer);
    for (int message = 1; message <= 3; ++message) {
        reading.reader_.feed("HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n");
        BOOST_TEST(reading.complete_ == message);
        BOOST_TEST(reading.head_.keepAlive_);
        reading.reader_.reset();
    }
}
