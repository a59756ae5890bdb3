# platform/ meets how the users' platform speaks. It is no module of the library:
# its headers stay private to it and the command that runs it.
file(GLOB AdapterSources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cpp)
add_library(sesamepaddle_adapter STATIC ${AdapterSources})
target_include_directories(sesamepaddle_adapter PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>)
target_compile_options(sesamepaddle_adapter PRIVATE -Wall -Wextra -Wpedantic -Werror
                       -Wno-mismatched-new-delete)
target_link_libraries(sesamepaddle_adapter PUBLIC sesamepaddle_ingress sesamepaddle_settings
                      nlohmann_json::nlohmann_json)
set_target_properties(sesamepaddle_adapter PROPERTIES EXPORT_NAME adapter)
add_library(sesamepaddle::adapter ALIAS sesamepaddle_adapter)
set_property(GLOBAL APPEND PROPERTY SesamepaddleModules sesamepaddle_adapter)
