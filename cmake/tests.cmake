# One test program per folder of tests/: tests/<module>/*.cpp links the module
# of that name; tests/process starts the built programs on loopback addresses.
# CI fixes the seed of RapidCheck here; another is tried with RC_PARAMS.
set(SesamepaddleFuzzSeed 20261204)

# Sets Result to the option that leaves out the cases which KNOWN-RED.txt lists
# for a test program, in lines 'case: PROGRAM | NAME | command, seed, what was seen'.
function(sesamepaddle_known_red Program Result)
  set(Cases "")
  if(EXISTS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
    file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt Lines REGEX "^case: ${Program} \\| ")
    foreach(Line IN LISTS Lines)
      string(REGEX REPLACE "^case: [^|]* \\| ([^|]*[^| ]).*$" "\\1" Case "${Line}")
      # A comma would end the filter; '?' stands for any character.
      string(REPLACE "," "?" Case "${Case}")
      list(APPEND Cases "${Case}")
    endforeach()
  endif()
  list(JOIN Cases "," Filter)
  if(Filter)
    set(${Result} "--test-case-exclude=${Filter}" PARENT_SCOPE)
  else()
    set(${Result} "" PARENT_SCOPE)
  endif()
endfunction()

function(sesamepaddle_tests)
  find_package(doctest REQUIRED)
  find_package(rapidcheck REQUIRED)
  # What several test programs use.
  file(GLOB SupportSources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/support/*.cpp)
  add_library(test_support STATIC ${SupportSources})
  target_include_directories(test_support PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(test_support PRIVATE sesamepaddle_net)
  file(GLOB Folders LIST_DIRECTORIES true CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*)
  foreach(Folder IN LISTS Folders)
    get_filename_component(Name ${Folder} NAME)
    file(GLOB Sources CONFIGURE_DEPENDS ${Folder}/*.cpp)
    if(NOT Sources OR Name STREQUAL support)
      continue()
    endif()
    add_executable(test_${Name} ${Sources} ${PROJECT_SOURCE_DIR}/tests/main.cpp)
    target_include_directories(test_${Name} PRIVATE ${PROJECT_SOURCE_DIR}/tests
                               ${PROJECT_SOURCE_DIR}/lab ${PROJECT_SOURCE_DIR}/src)
    target_compile_definitions(test_${Name} PRIVATE
                               SESAMEPADDLE_EXAMPLES="${PROJECT_SOURCE_DIR}/examples")
    target_compile_options(test_${Name} PRIVATE -Wall -Wextra -Werror
                           -Wno-mismatched-new-delete)
    target_link_libraries(test_${Name} PRIVATE test_support doctest::doctest rapidcheck)
    if(TARGET sesamepaddle_${Name})
      target_link_libraries(test_${Name} PRIVATE sesamepaddle_${Name})
    else()
      target_link_libraries(test_${Name} PRIVATE sesamepaddle_command_line)
      add_dependencies(test_${Name} sesamepaddle sesamepaddle-lab)
    endif()
    sesamepaddle_known_red(${Name} KnownRed)
    add_test(NAME ${Name} COMMAND test_${Name} ${KnownRed})
    set_tests_properties(${Name} PROPERTIES TIMEOUT 900 ENVIRONMENT
      "RC_PARAMS=seed=${SesamepaddleFuzzSeed};SESAMEPADDLE_BINARIES=${CMAKE_BINARY_DIR}")
  endforeach()
endfunction()
