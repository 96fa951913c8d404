/// The operators' tool.

#include "Operator/commandline.h"

int main(int argc, char **argv)
{
    return eelgrasscove::runOperatorTool({argv + 1, argv + argc});
}
