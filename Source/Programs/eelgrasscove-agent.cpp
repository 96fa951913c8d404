#include "Agent/agent.h"

int main(int argc, char **argv)
{
    return eelgrasscove::runAgent(argc, argv);
}
