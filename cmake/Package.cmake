# Declares one package: a static library from SOURCES, and, when TESTS is
# given, one doctest program registered with CTest.
#
#   baobabpin_package(session SOURCES Token.cpp TESTS TokenTest.cpp
#                     DEPENDS base)
#
# The library target is baobabpin_<name>; DEPENDS lists packages by their short
# name, LIBRARIES lists any other CMake targets.
function(baobabpin_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  set(target baobabpin_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR})
  foreach(dep IN LISTS ARG_DEPENDS)
    target_link_libraries(${target} PUBLIC baobabpin_${dep})
  endforeach()
  target_link_libraries(${target} PUBLIC ${ARG_LIBRARIES})
  if(ARG_TESTS)
    add_executable(${target}_test ${ARG_TESTS}
                   ${PROJECT_SOURCE_DIR}/cmake/TestMain.cpp)
    target_link_libraries(${target}_test PRIVATE ${target} doctest::doctest
                          ${ARG_TEST_LIBRARIES})
    add_test(NAME ${name} COMMAND ${target}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
