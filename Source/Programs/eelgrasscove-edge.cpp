#include "Edge/edge.h"

int main(int argc, char **argv)
{
    return eelgrasscove::runEdge(argc, argv);
}
