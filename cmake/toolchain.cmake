# Compiler settings and third-party packages.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

find_program(CcacheProgram ccache)
if(CcacheProgram)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CcacheProgram})
endif()

set(SESAMEPADDLE_SANITIZER "" CACHE STRING "Value for -fsanitize, empty for none")
if(SESAMEPADDLE_SANITIZER)
  add_compile_options(-fsanitize=${SESAMEPADDLE_SANITIZER} -fno-omit-frame-pointer -g1 -O1)
  # g++ 12 takes the state of std::regex for uninitialised when instrumented.
  add_compile_options(-Wno-error=maybe-uninitialized)
  add_link_options(-fsanitize=${SESAMEPADDLE_SANITIZER})
  # The thread sanitizer does not understand fences. Asio's stand around handlers
  # that its queue's mutex has put in order already.
  if(SESAMEPADDLE_SANITIZER STREQUAL "thread")
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
  endif()
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(absl REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(urcu REQUIRED IMPORTED_TARGET liburcu-bp)
find_package(log4cxx CONFIG REQUIRED)
# msgpack-cxx is headers alone; its package in Debian 12 has no usable configuration.
find_path(MsgpackInclude msgpack.hpp REQUIRED)
