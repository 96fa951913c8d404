# Identifies a build by the sources that it is made from, in the generated buildidentity.cpp, and
# provides remove_outdated_outputs() for builds in a folder that may come from elsewhere.

set(identity_digits 16)

file(GLOB_RECURSE identity_files CONFIGURE_DEPENDS RELATIVE ${PROJECT_SOURCE_DIR}
  ${PROJECT_SOURCE_DIR}/include/*.h ${PROJECT_SOURCE_DIR}/platform/*.h
  ${PROJECT_SOURCE_DIR}/platform/*.cpp ${PROJECT_SOURCE_DIR}/Source/*.h
  ${PROJECT_SOURCE_DIR}/Source/*.cpp ${PROJECT_SOURCE_DIR}/Source/*.in
  ${PROJECT_SOURCE_DIR}/Source/*.cmake)
list(APPEND identity_files CMakeLists.txt)
list(SORT identity_files)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${identity_files})

# One line for each source: its hash, a blank, its name.
set(identity_lines "")
foreach(file IN LISTS identity_files)
  file(SHA256 ${PROJECT_SOURCE_DIR}/${file} hash)
  list(APPEND identity_lines "${hash} ${file}")
endforeach()
string(SHA256 identity_hash "${identity_lines}")
string(SUBSTRING ${identity_hash} 0 ${identity_digits} EELGRASSCOVE_BUILD_IDENTITY)

configure_file(${PROJECT_SOURCE_DIR}/Source/Observe/buildidentity.cpp.in
  ${PROJECT_BINARY_DIR}/buildidentity.cpp @ONLY)

# Removes the objects of sources that differ from those of the last configuration, or all of them if
# that is unknown or another file differs, and then the named outputs. File times don't show that an
# object that is newer than its source was made from another version of it.
function(remove_outdated_outputs)
  set(record ${PROJECT_BINARY_DIR}/built-sources.txt)
  set(recorded "")
  if(EXISTS ${record})
    file(STRINGS ${record} recorded)
  endif()
  set(differing ${identity_lines} ${recorded})
  foreach(line IN LISTS identity_lines)
    if(line IN_LIST recorded)
      list(REMOVE_ITEM differing ${line})
    endif()
  endforeach()
  if(NOT differing)
    return()
  endif()
  set(objects ${PROJECT_BINARY_DIR}/CMakeFiles/serving.dir/buildidentity.cpp.o)
  set(is_only_sources ON)
  foreach(line IN LISTS differing)
    string(REGEX REPLACE "^[^ ]* " "" file "${line}")
    if(NOT file MATCHES "\\.cpp$")
      set(is_only_sources OFF)
    endif()
    file(GLOB made_from ${PROJECT_BINARY_DIR}/CMakeFiles/*.dir/${file}.o)
    list(APPEND objects ${made_from})
  endforeach()
  if(recorded STREQUAL "" OR NOT is_only_sources)
    file(GLOB_RECURSE objects ${PROJECT_BINARY_DIR}/CMakeFiles/*.dir/*.o)
  endif()
  list(TRANSFORM ARGN PREPEND ${PROJECT_BINARY_DIR}/ OUTPUT_VARIABLE outputs)
  file(REMOVE ${objects} ${outputs})
  list(JOIN identity_lines "\n" text)
  file(WRITE ${record} "${text}\n")
endfunction()
