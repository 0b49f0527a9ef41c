# lm_library(NAME SOURCES... [LINK libraries...]): one static library a module, with the project's warnings.
function(lm_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(lm_${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(lm_${NAME} PUBLIC ${ARG_LINK})
  target_compile_options(lm_${NAME} PRIVATE -Wall -Wextra -Werror)
endfunction()

# lm_program(NAME SOURCES... [LINK libraries...]): one program.
function(lm_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_LINK})
  target_compile_options(${NAME} PRIVATE -Wall -Wextra -Werror)
endfunction()

# lm_test(NAME SOURCES... [LINK libraries...] [KNOWN_RED tests...]): one CppUTest program, run by ctest as NAME. KNOWN_RED names tests, as
# GROUP.NAME, that are listed in KNOWN-RED.txt; ctest passes over just these. CppUTest's own -xsn leaves out only what all of its filters name.
function(lm_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;KNOWN_RED" ${ARGN})
  set(excluded)
  file(READ ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt known_red)
  foreach(test ${ARG_KNOWN_RED})
    string(REGEX REPLACE ".*\\." "" name ${test})
    if(NOT known_red MATCHES "${name}")
      message(FATAL_ERROR "${test} is not listed in KNOWN-RED.txt")
    endif()
    list(APPEND excluded --pass-over ${test})
  endforeach()
  lm_program(${NAME}_test SOURCES ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/testing/support/testmain.cpp LINK ${ARG_LINK} PkgConfig::CPPUTEST)
  add_test(NAME ${NAME} COMMAND ${NAME}_test -v ${excluded})
endfunction()
