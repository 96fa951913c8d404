#include "sections.h"
namespace eelgrasscove::capacity {
void printBudget(const SectionOptions &) { }
} // namespace eelgrasscove::capacity
