# Installs the binary, the headers and the package sesamepaddle for find_package.
include(CMakePackageConfigHelpers)
get_property(Modules GLOBAL PROPERTY SesamepaddleModules)
install(TARGETS sesamepaddle RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(TARGETS ${Modules} EXPORT sesamepaddleTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/sesamepaddle DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT sesamepaddleTargets NAMESPACE sesamepaddle::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sesamepaddle)
install(FILES cmake/sesamepaddleConfig.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sesamepaddle)
write_basic_package_version_file(sesamepaddleConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/sesamepaddleConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sesamepaddle)
