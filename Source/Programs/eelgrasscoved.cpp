#include "Vm/daemon.h"

int main(int argc, char **argv)
{
    return eelgrasscove::runDaemon(argc, argv);
}
