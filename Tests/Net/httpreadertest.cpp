#define BOOST_TEST_MODULE Net
#include "Net/httpreader.h"

#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

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

/// Checks what becomes of a message that is fed in pieces of several sizes.
void checkState(HttpKind kind, std::string_view message, HttpReadState expected)
{
    for (const std::size_t pieceSize : {std::size_t(1), std::size_t(7), message.size()}) {
        CollectingReader collector(kind);
        for (std::size_t at = 0; at < message.size(); at += pieceSize)
            collector.reader_.feed(message.substr(at, pieceSize));
        BOOST_TEST((collector.reader_.state() == expected),
                   message << " in pieces of " << pieceSize << " bytes");
        BOOST_TEST(collector.completeCount_ == (expected == HttpReadState::Complete ? 1 : 0));
    }
}

void checkMalformed(HttpKind kind, std::string_view message)
{
    checkState(kind, message, HttpReadState::Malformed);
}

void checkComplete(HttpKind kind, std::string_view message)
{
    checkState(kind, message, HttpReadState::Complete);
}

} // namespace

BOOST_AUTO_TEST_CASE(response_whose_status_line_is_invalid_is_malformed_before_its_head_ends)
{
    for (const std::string line :
         {"HTTP/1.1 000 Note", "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 20 OK",
          "HTTP/1.1 2", "HTTP/1.1 099 Note", "HTTP/1.1 600 Note", "HTTP/1.1 999 Note",
          "HTTP/1.1 1000 Note", "HTTP/1.1 2x0 Note", "HTTP/1.1 -20 Note", "HTTP/1.1  000 Note",
          "HTTP/1.1 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1. 200 OK", "http/1.1 200 OK",
          "HTTP/1.10 200 OK", "ICY 200 OK"})
        checkMalformed(HttpKind::Response, line + "\r\n");
}

BOOST_AUTO_TEST_CASE(response_with_a_sound_head_is_complete)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ",
          "HTTP/1.1  200 OK", "HTTP/1.1 404 Not \t\xfc", "HTTP/1.1 599 Note",
          "\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 OK\nA: b",
          "HTTP/1.1 200 OK\r\nX-Note:\t a\tb \xfc\x80 ", "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9:"})
        checkComplete(HttpKind::Response, head + "\r\nContent-Length: 2\r\n\r\nok");
}

BOOST_AUTO_TEST_CASE(message_with_an_invalid_header_name_is_malformed)
{
    using namespace std::string_literals;
    for (const std::string &line :
         {"X Note: a"s, "X-Note : a"s, " X-Note: a"s, "\tX-Note: a"s, "X\tNote: a"s, "X\x01: a"s,
          "X\0Note: a"s, "X\x7f: a"s, "X\x80: a"s, "X\rNote: a"s, "X(Note): a"s, ": a"s, "Note"s,
          "Content-Length : 2"s, "Content Length: 2"s, " Content-Length: 2"s,
          "\tTransfer-Encoding: chunked"s, "Transfer-Encoding : chunked"s}) {
        for (const std::string before : {"", "Host: a\r\n", "Host:\r\n"}) {
            const std::string headers = fmt::format("{}{}\r\nX-Other: b\r\n\r\n", before, line);
            checkMalformed(HttpKind::Response, "HTTP/1.1 200 OK\r\n" + headers);
            checkMalformed(HttpKind::Request, "GET / HTTP/1.1\r\n" + headers);
        }
    }
}

BOOST_AUTO_TEST_CASE(response_with_an_invalid_trailer_name_is_malformed)
{
    const std::string chunks =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (const std::string line : {"X Note: a", "X-Note : a", "X\x01: a"})
        checkMalformed(HttpKind::Response, fmt::format("{}X-Other: b\r\n{}\r\n\r\n", chunks, line));
    checkComplete(HttpKind::Response, chunks + "X-Note: a\r\nX-Other: b\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(message_with_an_invalid_line_end_is_malformed)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\rX\r\n\r\n", "HTTP/1.1 200 O\rK\r\nX-Note: a\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Note: a\r\n\rX", "HTTP/1.1 200 OK\r\r\nX-Note: a\r\n\r\n"})
        checkMalformed(HttpKind::Response, head);
    checkMalformed(HttpKind::Request, "GET / HTTP/1.1\r\nHost: a\r\n\rX");
    for (const std::string chunks :
         {"2\r\nokXY0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\r\nokX\n0\r\n\r\n", "2\rXok\r\n0\r\n\r\n",
          "2\r\nokmore\r\n0\r\n\r\n", "2\r\nok\r\n0\r\n\rX", "2\r\nok\r\n0\rX\r\n",
          "2\r\nok\n\n0\r\n\r\n"}) {
        checkMalformed(HttpKind::Response,
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        checkMalformed(HttpKind::Request,
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    }
    for (const std::string chunks : {"0\r\n\r\n", "2\r\n\r\n\r\n0\r\n\r\n",
                                     "2;a=b\r\nok\r\n1\r\n\r\r\n0\r\nX-Note: a\r\n\r\n"})
        checkComplete(HttpKind::Response,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
}

BOOST_AUTO_TEST_CASE(message_with_a_transfer_coding_that_is_not_chunked_is_malformed)
{
    for (const std::string coding :
         {"gzip", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked",
          "chunked\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip", "chun ked",
          "chunked;", ""}) {
        const std::string rest = "Transfer-Encoding: " + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        checkMalformed(HttpKind::Response, "HTTP/1.1 200 OK\r\n" + rest);
        checkMalformed(HttpKind::Request, "POST / HTTP/1.1\r\n" + rest);
    }
    for (const std::string line : {"Transfer-Encoding: Chunked ", "transfer-encoding:chunked"})
        checkComplete(HttpKind::Response,
                      "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(request_of_another_major_version_is_malformed)
{
    for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.1"})
        checkMalformed(HttpKind::Request, "GET / " + version + "\r\nHost: a\r\n\r\n");
    for (const std::string version : {"HTTP/1.0", "HTTP/1.1", "HTTP/1.9"})
        checkComplete(HttpKind::Request, "GET / " + version + "\r\nHost: a\r\n\r\n");
}

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
    BOOST_TEST((collector.reader_.fault() == HttpFault::HeadTooLong));
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
