#define BOOST_TEST_MODULE Dissemination
#include "Peer/dissemination.h"
#include "Peer/peermessages.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <xxhash.h>

using namespace eelgrasscove;

namespace {

constexpr NameHash dataCentreOf(std::size_t member, std::size_t dataCentres)
{
    return static_cast<NameHash>(member % dataCentres + 1);
}

/// Members of several data centres that send a state message each in every period, over links that
/// lose datagrams. Time is counted in periods.
class Fleet
{
public:
    Fleet(std::size_t members, std::size_t dataCentres, unsigned seed)
        : dataCentres_(dataCentres), isAlive_(members, true),
          lastReceived_(members, std::vector<int>(members, 0)),
          longestGap_(members, std::vector<int>(members, 0)), random_(seed)
    { }

    void run(int periods)
    {
        for (int period = 0; period < periods; ++period) {
            ++now_;
            relayed_.clear();
            for (std::size_t sender = 0; sender < isAlive_.size(); ++sender) {
                if (isAlive_[sender])
                    send(sender);
            }
            recordGaps();
        }
    }

    /// Members detect the end of another after so many periods.
    static constexpr int contactPeriods = 5;

    double lossProbability_ = 0;
    std::size_t dataCentres_;
    std::vector<bool> isAlive_;
    /// Pairs of a sender and a receiver between which no datagram arrives.
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    /// Period of the last message received, by receiver and sender.
    std::vector<std::vector<int>> lastReceived_;
    std::vector<std::vector<int>> longestGap_;
    std::size_t betweenDataCentres_ = 0;
    /// Most messages that one member relayed in a period.
    std::size_t mostRelayed_ = 0;

private:
    void send(std::size_t sender)
    {
        std::vector<Member> members;
        std::vector<std::size_t> indexes;
        for (std::size_t other = 0; other < isAlive_.size(); ++other) {
            if (other == sender)
                continue;
            const bool isInContact = now_ - lastReceived_[sender][other] <= contactPeriods;
            members.push_back({{}, dataCentreOf(other, dataCentres_), isInContact, false});
            indexes.push_back(other);
        }
        for (const Recipient &recipient : chooseRecipients(
                 members, nameHash("entry-" + std::to_string(sender)),
                 dataCentreOf(sender, dataCentres_), static_cast<std::uint64_t>(now_))) {
            const std::size_t receiver = indexes[recipient.member_];
            if (!transfer(sender, receiver))
                continue;
            lastReceived_[receiver][sender] = now_;
            if (!recipient.isRelay_)
                continue;
            mostRelayed_ = std::max(mostRelayed_, ++relayed_[receiver]);
            for (std::size_t other = 0; other < isAlive_.size(); ++other) {
                const bool isNeighbour =
                    dataCentreOf(other, dataCentres_) == dataCentreOf(receiver, dataCentres_);
                if (other != receiver && isNeighbour && transfer(receiver, other))
                    lastReceived_[other][sender] = now_;
            }
        }
    }

    bool transfer(std::size_t from, std::size_t to)
    {
        if (dataCentreOf(from, dataCentres_) != dataCentreOf(to, dataCentres_))
            ++betweenDataCentres_;
        return isAlive_[to] && !cut_.contains({from, to})
            && std::uniform_real_distribution<double>(0, 1)(random_) >= lossProbability_;
    }

    void recordGaps()
    {
        for (std::size_t receiver = 0; receiver < isAlive_.size(); ++receiver) {
            for (std::size_t sender = 0; sender < isAlive_.size(); ++sender) {
                int &longest = longestGap_[receiver][sender];
                if (receiver != sender && isAlive_[receiver] && isAlive_[sender])
                    longest = std::max(longest, now_ - lastReceived_[receiver][sender]);
            }
        }
    }

    int now_ = 0;
    std::map<std::size_t, std::size_t> relayed_;
    std::minstd_rand random_;
};

/// Longest time, in periods, for which a live member had no message of another live one.
int longestGapOf(const Fleet &fleet)
{
    int longest = 0;
    for (const auto &gaps : fleet.longestGap_)
        longest = std::max(longest, *std::max_element(gaps.begin(), gaps.end()));
    return longest;
}

/// The allowance of accounts tolerates this many periods without a message.
constexpr int toleratedGap = 3;

} // namespace

BOOST_AUTO_TEST_CASE(every_member_gets_each_message_by_one_datagram_to_each_other_data_centre)
{
    for (const auto &[members, dataCentres] :
         {std::pair<std::size_t, std::size_t>{4, 3}, {30, 3}, {68, 6}, {188, 6}, {420, 8}}) {
        constexpr int periods = 5;
        Fleet fleet(members, dataCentres, 1);
        fleet.run(periods);
        BOOST_TEST(longestGapOf(fleet) == 0);
        BOOST_TEST(fleet.betweenDataCentres_ == members * (dataCentres - 1) * periods);
    }
}

BOOST_AUTO_TEST_CASE(lost_members_and_a_lost_data_centre_do_not_interrupt_messages_among_the_others)
{
    for (const std::size_t members : {30U, 68U, 188U}) {
        Fleet fleet(members, 6, 2);
        fleet.run(10);
        for (std::size_t member = 0; member < members; ++member) {
            // A whole data centre, and a third of the members of the others.
            if (member % 6 == 0 || member / 6 % 3 == 0)
                fleet.isAlive_[member] = false;
        }
        fleet.run(40);
        BOOST_TEST(longestGapOf(fleet) <= toleratedGap, members << " members");
    }
}

BOOST_AUTO_TEST_CASE(a_relay_that_one_member_can_not_reach_does_not_end_its_messages)
{
    for (const std::size_t dataCentres : {2U, 3U, 6U}) {
        Fleet fleet(dataCentres * 3, dataCentres, 3);
        fleet.cut_ = {{0, 1}, {1, 0}};
        fleet.run(60);
        BOOST_TEST(longestGapOf(fleet) <= toleratedGap, dataCentres << " data centres");
    }
}

BOOST_AUTO_TEST_CASE(loss_of_datagrams_rarely_exceeds_the_tolerated_time_without_a_message)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        Fleet fleet(68, 6, seed);
        fleet.lossProbability_ = 0.05;
        constexpr int periods = 100;
        fleet.run(periods);
        std::size_t exceeded = 0;
        for (const auto &gaps : fleet.longestGap_)
            exceeded += static_cast<std::size_t>(std::count_if(
                gaps.begin(), gaps.end(), [](int gap) { return gap > toleratedGap; }));
        BOOST_TEST_MESSAGE("seed " << seed << ": " << exceeded << " of " << 68 * 67 << " pairs");
        // Two datagrams for each message, so four in a row are lost with a probability of 1e-4.
        BOOST_TEST(static_cast<double>(exceeded) < 0.02 * 68 * 67, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(all_relays_get_full_messages_in_turn)
{
    for (std::size_t members = 1; members <= 60; ++members) {
        const std::vector<Member> fleet(members, Member{{}, 2, true, false});
        std::set<std::size_t> relays;
        for (std::uint64_t number = 0; number < members * 3; ++number) {
            const auto recipients =
                chooseRecipients(fleet, 123'457, 1, number * fullMessageInterval);
            BOOST_REQUIRE(recipients.size() == 1);
            relays.insert(recipients.front().member_);
        }
        BOOST_TEST(relays.size() == members);
    }
}

BOOST_AUTO_TEST_CASE(no_member_relays_the_messages_of_all_senders_of_a_period)
{
    for (const std::size_t members : {30U, 68U, 188U}) {
        Fleet fleet(members, 6, 4);
        fleet.run(20);
        // By the mean, five messages for each member; by chance some more.
        BOOST_TEST(fleet.mostRelayed_ <= 20, members << " members: " << fleet.mostRelayed_);
    }
}

BOOST_AUTO_TEST_CASE(members_of_unknown_data_centres_get_messages_directly)
{
    const std::vector<Member> members = {
        {{}, 0, false, false}, {{}, 2, true, false}, {{}, 2, true, true}, {{}, 1, true, false}};
    const auto recipients = chooseRecipients(members, 0, 1, 0);
    const std::vector<Recipient> expected = {{0, false}, {2, false}, {3, false}, {1, true}};
    BOOST_TEST((recipients == expected));
}

BOOST_AUTO_TEST_CASE(message_with_an_impossible_length_is_ignored)
{
    EntryState state;
    state.usage_ = {{1, 2}};
    std::string bytes = encodePeerMessage(state);
    // The checksum is right, as in a message of another layout.
    constexpr std::size_t headerBytes = 7;
    for (std::size_t at = headerBytes; at + sizeof(std::uint64_t) <= bytes.size(); ++at) {
        std::string wrong = bytes;
        std::fill_n(wrong.begin() + static_cast<std::ptrdiff_t>(at), sizeof(std::uint64_t), '\xee');
        const std::string_view body = std::string_view(wrong).substr(headerBytes);
        const std::uint32_t checksum = XXH32(body.data(), body.size(), 0);
        std::memcpy(wrong.data() + headerBytes - sizeof checksum, &checksum, sizeof checksum);
        BOOST_CHECK_NO_THROW(decodePeerMessage(wrong));
    }
}

BOOST_AUTO_TEST_CASE(route_is_read_and_set_without_a_change_of_the_message)
{
    EntryState state;
    state.vm_ = 7;
    std::string bytes = encodePeerMessage(state);
    BOOST_TEST((routeOf(bytes) == DatagramRoute::Direct));
    for (const DatagramRoute route : {DatagramRoute::ToRelay, DatagramRoute::Relayed}) {
        setRoute(bytes, route);
        BOOST_TEST((routeOf(bytes) == route));
        const auto message = decodePeerMessage(bytes);
        BOOST_REQUIRE(message.has_value());
        BOOST_TEST(std::get<EntryState>(*message).vm_ == 7U);
    }
    // A message of an unknown route, of the previous layout or cut short is none.
    bytes[1] = 3;
    BOOST_TEST(!routeOf(bytes).has_value());
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
    bytes[1] = 0;
    bytes[0] = 3;
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
    BOOST_TEST(!routeOf(std::string_view(bytes).substr(0, 6)).has_value());
}

BOOST_AUTO_TEST_CASE(
    pace_in_a_report_and_first_events_in_the_reply_take_no_more_bytes_than_layout_6)
{
    // Guards against fields that add to the bytes between data centres. The limits are the sizes of
    // the same messages in layout 6; an agent sends at least as many reports as it gets messages.
    constexpr std::size_t messageBytes = 106;
    constexpr std::size_t reportBytes = 107;
    EntryLoadRequests message;
    message.vm_ = "edge-utrecht-1";
    message.target_ = "i-0123456789";
    message.usedAdapters_ = {1, 2, 3};
    const std::size_t withoutSums = encodePeerMessage(message).size();
    message.eventIntervals_ = EventIntervalSums{3, 120};
    const std::string bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    BOOST_REQUIRE(decoded.has_value());
    const auto &received = std::get<EntryLoadRequests>(*decoded);
    BOOST_REQUIRE(received.eventIntervals_.has_value());
    BOOST_TEST(received.eventIntervals_->streams_ == 3);
    BOOST_TEST(received.eventIntervals_->millis_ == 120);
    BOOST_TEST(withoutSums <= messageBytes);
    EngineStateMessage state;
    state.pace_ = 145;
    state.adapters_ = {{1, 2}};
    const std::string stateBytes = encodePeerMessage(state);
    const auto decodedState = decodePeerMessage(stateBytes);
    BOOST_REQUIRE(decodedState.has_value());
    BOOST_TEST(std::get<EngineStateMessage>(*decodedState).pace_ == 145);
    BOOST_TEST(stateBytes.size() <= reportBytes);
    BOOST_TEST(bytes.size() + stateBytes.size() <= messageBytes + reportBytes);
}
