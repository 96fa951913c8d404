#!/usr/bin/env bash
# Guards against a build folder from elsewhere being used as it is: its objects are newer than the
# sources beside it and were made from others. stalebuild.sh REPOSITORY.
set -euo pipefail
repository=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
mkdir -p include platform Source/Observe
cp "$repository/Source/buildidentity.cmake" Source/
cp "$repository"/Source/Observe/buildidentity.{h,cpp.in} Source/Observe/
cat >CMakeLists.txt <<'EOF'
cmake_minimum_required(VERSION 3.25)
project(tiny VERSION 1.0 LANGUAGES CXX)
set(CMAKE_CXX_STANDARD 20)
include(Source/buildidentity.cmake)
add_library(serving STATIC Source/value.cpp Source/other.cpp ${PROJECT_BINARY_DIR}/buildidentity.cpp)
target_include_directories(serving PUBLIC include Source)
add_executable(tiny platform/main.cpp)
target_link_libraries(tiny PRIVATE serving)
remove_outdated_outputs(libserving.a tiny)
EOF
cat >platform/main.cpp <<'EOF'
#include "Observe/buildidentity.h"
#include "value.h"

#include <iostream>

int main()
{
    std::cout << value() << ' ' << other() << ' ' << eelgrasscove::buildIdentity() << '\n';
}
EOF
echo 'int value(); int other();' >include/value.h
echo '#include "value.h"
int other() { return 0; }' >Source/other.cpp

# Writes a source with a time before that of every object.
writeOld() { # FILE TEXT
    echo "$2" >"$1"
    touch -d '2020-01-01' "$1"
}

build() {
    cmake -S . -B target >build.log
    cmake --build target >>build.log
}

failed=0
expect() { # VALUES WHAT
    local printed
    printed=$(target/tiny)
    if [ "${printed% *}" != "$1" ]; then
        echo "$2: printed \"$printed\", expected \"$1\" and the identity"
        failed=1
    fi
}

writeOld Source/value.cpp '#include "value.h"
int value() { return 1; }'
build
expect "1 0" "first build"
first=$(target/tiny)

writeOld Source/value.cpp '#include "value.h"
int value() { return 2; }'
build
expect "2 0" "changed source"
[ "$(target/tiny | cut -d' ' -f3)" != "${first##* }" ] || { echo "the identity is the same"; failed=1; }

# A change of a header reaches sources that did not change.
writeOld include/value.h 'int value(); int other(); inline int base() { return 7; }'
writeOld Source/other.cpp '#include "value.h"
int other() { return base(); }'
build
expect "2 7" "new header"
writeOld include/value.h 'int value(); int other(); inline int base() { return 8; }'
build
expect "2 8" "changed header"

# A folder of a build that did not record its sources, as of earlier versions.
rm -f target/built-sources.txt
writeOld Source/value.cpp '#include "value.h"
int value() { return 3; }'
build
expect "3 8" "sources not recorded"

# The same sources give the same identity, and nothing is made again.
before=$(target/tiny)
touch -r target/tiny reference
build
[ "$(target/tiny)" = "$before" ] || { echo "the same sources have another identity"; failed=1; }
[ ! target/tiny -nt reference ] || { echo "the program was made again"; failed=1; }
exit "$failed"
