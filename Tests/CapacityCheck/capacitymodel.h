#pragma once

/// The formulae of docs/CAPACITY.md: what control costs each role, from sizes and slopes.

#include <cstddef>
#include <string>
#include <vector>

namespace eelgrasscove::capacity {

/// A size of the whole system.
struct SystemSize
{
    std::size_t entries_ = 420;
    std::size_t targets_ = 1300;
    std::size_t adapters_ = 47000;
    std::size_t dataCentres_ = 13;
    std::size_t regions_ = 5;
    double changesPerDay_ = 2000;
    std::size_t groups_ = 2;
    std::size_t accounts_ = 50;
    /// Share of the adapters that wake or fall idle within an hour.
    double wakingShare_ = 0.57;
    double replacedPerDay_ = 200;
    /// Calls with an Idempotency-Key: taken as 5% of the requests at the peak.
    double bookingsPerSecond_ = 55;
};

SystemSize doubled(const SystemSize &size);

/// What one node may spend on control, and what the platform's service gives.
struct Budget
{
    double coreShare_ = 0.042;
    double memoryBytes_ = 32e6;
    double bytesPerSecond_ = 23e3;
    double platformReadsPerSecond_ = 2000;
    double platformWritesPerSecond_ = 300;
    double secondsToAll_ = 18;
};

/// Bytes of messages, taken from the codec, and of state, taken from the allocator.
struct Slopes
{
    double transportBytes_ = 60;
    double heartbeatBytes_ = 0;
    double reportBytes_ = 0;
    double reportBytesPerChange_ = 0;
    double summaryBytes_ = 0;
    double summaryBytesPerGroup_ = 0;
    double newsBytes_ = 0;
    double deltaBytes_ = 0;
    double textBytesPerRule_ = 0;
    double parsedBytesPerRule_ = 0;
    double compactBytesPerRule_ = 0;
    double peerBytes_ = 0;
    /// Calls of the key-value service to split an account anew, and for one entry that joins, for
    /// each entry squared; writes among them for each entry.
    double splitCalls_ = 0;
    double joinCalls_ = 0;
    double shareWrites_ = 0;
    double bookingWrites_ = 0;
    /// Microseconds of a core.
    double decodeReport_ = 0;
    double encodeReport_ = 0;
    double takeReport_ = 0;
    double encodeSummary_ = 0;
    double decodeSummary_ = 0;
    double decodeHeartbeat_ = 0;
    double encodeHeartbeat_ = 0;
    double viewPerProcess_ = 0;
    double listPerProcess_ = 0;
    double indexPerRule_ = 0;
    double applyPerRule_ = 0;
};

/// Bytes of messages as the codec writes them and of the rules as the compact form holds them; the
/// other slopes are ceilings, above what docs/CAPACITY.md shows as measured.
Slopes slopesWithCeilings();

/// A process that holds nothing yet, and each of its links.
struct ProcessFootprint
{
    double entryBytes_ = 10e6;
    double targetBytes_ = 10e6;
    double linkBytes_ = 9e3;
};

struct BudgetRow
{
    std::string role_;
    std::string what_;
    double value_ = 0;
    double limit_ = 0;
    std::string unit_;
    std::string mechanism_;
    /// What would make a row fit that doesn't.
    std::string remedy_;
};

bool fits(const BudgetRow &row);

/// One kind of message of one role.
struct TrafficRow
{
    std::string role_;
    std::string message_;
    double inPerSecond_ = 0;
    double outPerSecond_ = 0;
    /// Headers of the transport included.
    double bytes_ = 0;
};

std::vector<TrafficRow> entryTraffic(const SystemSize &size, const Slopes &slopes);
std::vector<TrafficRow> targetTraffic(const SystemSize &size, const Slopes &slopes);

/// A role's control bytes a second, in and out together.
double entryBytesPerSecond(const SystemSize &size, const Slopes &slopes);
double targetBytesPerSecond(const SystemSize &size, const Slopes &slopes);

std::vector<BudgetRow> budgetRows(const SystemSize &size, const Slopes &slopes,
                                  const ProcessFootprint &footprint, const Budget &budget);

} // namespace eelgrasscove::capacity
