# sesamepaddle_module(<name> [USES <modules>...] [LIBRARIES <targets>...])
#
# Makes the static library sesamepaddle_<name> from src/<name>/*.cpp, or an
# interface library where a module is headers alone. A module sees the public
# headers of all modules but links only those in USES, so that an arrow upwards
# fails to link.
set_property(GLOBAL PROPERTY SesamepaddleModules "")

function(sesamepaddle_module Name)
  cmake_parse_arguments(Module "" "" "USES;LIBRARIES" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${Name}/*.cpp)
  set(Target sesamepaddle_${Name})
  if(Sources)
    add_library(${Target} STATIC ${Sources})
    set(Scope PUBLIC)
    # g++ 12 takes the frame allocator of Asio's coroutines for a mismatch.
    target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic -Werror
                           -Wno-mismatched-new-delete)
    target_include_directories(${Target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  else()
    add_library(${Target} INTERFACE)
    set(Scope INTERFACE)
  endif()
  target_include_directories(${Target} ${Scope}
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(${Target} ${Scope} ${Module_LIBRARIES})
  foreach(Used IN LISTS Module_USES)
    target_link_libraries(${Target} ${Scope} sesamepaddle_${Used})
  endforeach()
  set_target_properties(${Target} PROPERTIES EXPORT_NAME ${Name})
  add_library(sesamepaddle::${Name} ALIAS ${Target})
  set_property(GLOBAL APPEND PROPERTY SesamepaddleModules ${Target})
endfunction()
