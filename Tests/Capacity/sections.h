#pragma once

/// The measurements of docs/CAPACITY.md. Each prints one Markdown table to standard output.

#include <cstddef>

namespace eelgrasscove::capacity {

/// Bounds on how much is measured.
struct SectionOptions
{
    std::size_t mostProcesses_ = 1720;
    std::size_t mostAdapters_ = 47000;
    std::size_t seeds_ = 5;
};

/// Messages, bytes and time to the last process, for each way of choosing whom to push to.
void measureSpread(const SectionOptions &options);

/// Time to the last process with loss, an outage just after the accept, and a cut that heals.
void measureSpreadFaults(const SectionOptions &options);

/// Platform calls when all processes start at once.
void measureStart(const SectionOptions &options);

/// Bytes and processor time of the messages between processes.
void measureMessages(const SectionOptions &options);

/// Memory and processor time of what a process knows of its peers.
void measureFleet(const SectionOptions &options);

/// Memory, parsing and lookup of the rules of many adapters.
void measureRules(const SectionOptions &options);

/// Calls and bytes of the shares of an account, of bookings and of loans.
void measureShares(const SectionOptions &options);

/// Every role's cost at the size to design for, against its budget.
void printBudget(const SectionOptions &options);

} // namespace eelgrasscove::capacity
